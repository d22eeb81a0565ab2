/*
 * Explains one request from the log lines of several processes: first the cause of its outcome,
 * then the decisions made for it, then earlier log lines about the leaves that took part and the
 * VM.
 */
#ifndef APRICOT_EXPLAIN_H
#define APRICOT_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct explain_file {
	const char *name; /* for messages about the file */
	const char *text; /* whole content, ended by NUL */
};

/*
 * Returns the explanation; the caller frees it with g_free. Sets *found to false when no line names
 * the request; the text then says how many lines were searched and how many the logs left out.
 */
char *explain_request(const char *id, const struct explain_file *files, unsigned int n_files,
		      bool *found);

G_END_DECLS

#endif
