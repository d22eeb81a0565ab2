/* Parser of what callers send to /search and /command. */
#ifndef APRICOT_REQUEST_H
#define APRICOT_REQUEST_H

#include "message.h"

G_BEGIN_DECLS

/*
 * Fills in service, class, deadline and body, for a command also id and key, from JSON text that
 * need not end with NUL. False with *problem set when the text is not a request by docs/api.md: the
 * field's name or the parser's message, freed by the caller. r is then partly filled.
 */
bool request_parse(struct caller_request *r, const char *text, size_t n_bytes, bool is_command,
		   char **problem);

G_END_DECLS

#endif
