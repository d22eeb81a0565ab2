/* IPv4 addresses with a port. */
#ifndef APRICOT_ADDRESS_H
#define APRICOT_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Parses "IP:PORT". False when the text is malformed, not IPv4, or has port 0. */
bool address_parse(const char *text, struct sockaddr_in *out);

G_END_DECLS

#endif
