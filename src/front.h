/*
 * Service "front": HTTP for callers and operators. It owns the listening socket and the requests
 * until they are answered; docs/api.md describes the interface.
 */
#ifndef APRICOT_FRONT_H
#define APRICOT_FRONT_H

#include "kernel.h"

G_BEGIN_DECLS

/* Binds the address ("IP:PORT"); NULL with an error when that fails. */
struct service *front_create(struct kernel *k, const char *http_address, GError **error);

G_END_DECLS

#endif
