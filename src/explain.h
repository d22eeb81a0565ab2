/*
 * The story of one request from the log lines of several processes: the cause first, then what was
 * decided, then what was known of the leaves that took part.
 */
#ifndef APRICOT_EXPLAIN_H
#define APRICOT_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct explain_file {
	const char *name;
	const char *text; /* whole content, ended by NUL */
};

/*
 * Owned text. *found is false when no line names the request; the text then says what was looked
 * through and what the logs left out.
 */
char *explain_request(const char *id, const struct explain_file *files, unsigned int n_files,
		      bool *found);

G_END_DECLS

#endif
