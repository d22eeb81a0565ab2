/* Parser of the JSON bodies that callers post to /search and /command. */
#ifndef APRICOT_REQUEST_H
#define APRICOT_REQUEST_H

#include "message.h"

G_BEGIN_DECLS

/*
 * Parses the JSON text of a request as docs/api.md defines it; the text need not end with NUL.
 * Fills in service, class, deadline and body of r, and for a command also id and key. Returns false
 * when the text is not such a request. *problem is then the name of the field at fault, with a
 * reason for some, or the message of the JSON parser. The caller frees *problem; r is then partly
 * filled.
 */
bool request_parse(struct caller_request *r, const char *text, size_t n_bytes, bool is_command,
		   char **problem);

G_END_DECLS

#endif
