/*
 * Structured log lines on standard output:
 * TIME level=LEVEL vm=NAME event=EVENT key=value ...
 *
 * Lines are kept in a bounded buffer and written when the output accepts them, so that a slow or
 * blocked consumer never blocks the process. Lines that do not fit are dropped and counted; a line
 * "log_dropped" reports the count. Lines about single requests are rate limited as well.
 */
#ifndef APRICOT_LOG_H
#define APRICOT_LOG_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARNING, LOG_LEVEL_INFO };

/* Sets the VM's name, which is copied, and the level; less severe lines are not written. */
void log_setup(const char *vm, enum log_level level);

/*
 * Sets the largest number of lines about single requests per second. Half of them are reserved for
 * warnings and errors.
 */
void log_request_rate_set(unsigned int request_lines_s);

/* Adds a line. format is printf-style and should produce key=value pairs. */
void log_event(enum log_level level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/*
 * Adds a line about the request with this id. False when the line is left out because of its level
 * or the rate limit.
 */
bool log_request(enum log_level level, const char *id, const char *event, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/* X(symbol, event): lines that each list many requests, with a short item for each */
#define LOG_BATCH_LIST(X)          \
	X(BEGUN, "requests_begun") \
	X(BRIEF, "requests_brief")

enum log_batch {
#define X(symbol, event) LOG_BATCH_##symbol,
	LOG_BATCH_LIST(X)
#undef X
		LOG_BATCH_COUNT
};

/*
 * Adds an item to the next line of this kind, which log_flush or a full line adds to the log.
 * Commas, blanks and tabs in the item become underscores, since they separate items.
 */
void log_batch_add(enum log_batch kind, const char *format, ...) G_GNUC_PRINTF(2, 3);

/*
 * Writes as much as the output accepts without blocking. To be called by a timer of the event loop
 * and when the process ends.
 */
void log_flush(void);

/* Number of lines dropped so far: the buffer was full or a rate limit was reached. */
guint64 log_dropped(void);

/* Parses "error", "warning" or "info"; FALSE for anything else. */
gboolean log_level_parse(const char *text, enum log_level *level);

G_END_DECLS

#endif
