/*
 * Structured log lines on standard error, for changes of state only:
 * TIME level=LEVEL vm=NAME event=EVENT key=value ...
 */
#ifndef APRICOT_LOG_H
#define APRICOT_LOG_H

#include <glib.h>

G_BEGIN_DECLS

enum log_level { LOG_LEVEL_ERROR, LOG_LEVEL_WARNING, LOG_LEVEL_INFO };

/* Copies the name; lines above the level are dropped. */
void log_setup(const char *vm, enum log_level max_level);

/* The text after the event is printf-style and should be key=value pairs. */
void log_event(enum log_level level, const char *event, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/* Parses "error", "warning" or "info"; false for anything else. */
gboolean log_level_parse(const char *text, enum log_level *level);

G_END_DECLS

#endif
