/*
 * Structured log lines on standard output:
 * TIME level=LEVEL vm=NAME event=EVENT key=value ...
 *
 * Lines are kept in a bounded buffer and written when the output takes them, so that a slow or
 * blocked reader never holds the process up; what does not fit is counted and said in a line
 * "log_dropped". Lines about single requests are bounded by a rate besides.
 */
#ifndef APRICOT_LOG_H
#define APRICOT_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARNING, LOG_LEVEL_INFO };

/* Copies the name; lines above the level are dropped. */
void log_setup(const char *vm, enum log_level max_level);

/* Lines about single requests per second at most; half of them are kept for warnings. */
void log_limit(unsigned int request_lines_s);

/* The text after the event is printf-style and should be key=value pairs. */
void log_event(enum log_level level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/* The same for one request; false when the rate of such lines leaves it out. id: the request's. */
bool log_request(enum log_level level, const char *id, const char *event, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/* X(symbol, event): kinds of lines that name many requests in a few bytes each */
#define LOG_LIST_LIST(X)           \
	X(BEGUN, "requests_begun") \
	X(BRIEF, "requests_brief")

enum log_list {
#define X(symbol, event) LOG_LIST_##symbol,
	LOG_LIST_LIST(X)
#undef X
		LOG_LIST_COUNT
};

/* Adds an item, without commas and blanks, to the next line of the list; log_flush writes it. */
void log_list_add(enum log_list list, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Writes what the output takes now. Called by the event loop's timer and at the end. */
void log_flush(void);

/* Lines dropped so far, for whatever reason. */
guint64 log_dropped(void);

/* Parses "error", "warning" or "info"; false for anything else. */
gboolean log_level_parse(const char *text, enum log_level *level);

G_END_DECLS

#endif
