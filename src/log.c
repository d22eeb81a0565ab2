#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const char *const level_names[] = {"error", "warning", "info"};
static char log_vm[64] = "-";
static enum log_level log_max = LOG_LEVEL_INFO;

void log_setup(const char *vm, enum log_level max_level)
{
	g_strlcpy(log_vm, vm, sizeof(log_vm));
	log_max = max_level;
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *time = NULL;
	g_autofree char *text = NULL;
	va_list args;

	if (level > log_max)
		return;
	now = g_date_time_new_now_utc();
	time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	/* A value from outside must not start a line of its own. */
	g_strdelimit(text, "\r\n", ' ');
	fprintf(stderr, "%s level=%s vm=%s event=%s %s\n", time, level_names[level], log_vm, event,
		text);
}

gboolean log_level_parse(const char *text, enum log_level *level)
{
	for (unsigned int i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(text, level_names[i]) == 0) {
			*level = (enum log_level)i;
			return TRUE;
		}
	}
	return FALSE;
}
