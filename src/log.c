#include "log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"

/* About two seconds of lines at the default rate; older lines stay, newer ones are dropped. */
#define BUFFER_BYTES 65536
#define LINE_BYTES 2048
/* A pipe that is ready for writing takes at least so many bytes without blocking (POSIX). */
#define WRITE_BYTES 4096

/* Of a list's line; with LIST_LINES_S this bounds each list to about 20 KB a second. */
#define LIST_BYTES 1000
#define LIST_LINES_S 20

/* Items of a list that are not written yet. */
struct pending_list {
	const char *event;
	char items[LIST_BYTES];
	size_t n_bytes;
	unsigned int lines; /* in the current second */
	uint64_t second;
};

static struct pending_list lists[] = {
#define X(symbol, name) {.event = (name)},
	LOG_LIST_LIST(X)
#undef X
};
static const char *const level_names[] = {"error", "warning", "info"};
static char log_vm[64] = "-";
static enum log_level log_max = LOG_LEVEL_INFO;
static char buffer[BUFFER_BYTES];
static size_t buffered;
static guint64 dropped; /* lines */
static guint64 dropped_said;
static unsigned int request_limit = 40;
static unsigned int request_lines; /* in the current second */
static uint64_t request_second;

void log_setup(const char *vm, enum log_level max_level)
{
	g_strlcpy(log_vm, vm, sizeof(log_vm));
	log_max = max_level;
}

void log_limit(unsigned int request_lines_s)
{
	request_limit = request_lines_s;
}

guint64 log_dropped(void)
{
	return dropped;
}

/* Writes "2026-12-04T12:00:00.123Z"; the date is formatted once a second. */
static void time_print(char *out, size_t n, uint64_t wall_ms)
{
	static char second_text[32];
	static uint64_t second;

	if (wall_ms / 1000 != second || !*second_text) {
		g_autoptr(GDateTime) now = g_date_time_new_from_unix_utc((gint64)(wall_ms / 1000));
		g_autofree char *text = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

		second = wall_ms / 1000;
		g_strlcpy(second_text, text, sizeof(second_text));
	}
	g_snprintf(out, (gulong)n, "%s.%03uZ", second_text, (unsigned int)(wall_ms % 1000));
}

static void line_add(enum log_level level, const char *event, const char *id, const char *text)
{
	char time[40];
	char line[LINE_BYTES];
	size_t n;

	time_print(time, sizeof(time), clock_wall_ms());
	n = (size_t)g_snprintf(line, sizeof(line) - 1, "%s level=%s vm=%s event=%s %s%s%s%s", time,
			       level_names[level], log_vm, event, id ? "request=" : "",
			       id ? id : "", id ? " " : "", text);
	n = MIN(n, sizeof(line) - 2);
	/* A value from outside must not start a line of its own. */
	for (size_t i = 0; i < n; i++)
		if (line[i] == '\r' || line[i] == '\n')
			line[i] = ' ';
	line[n++] = '\n';
	if (buffered + n > sizeof(buffer)) {
		dropped++;
		return;
	}
	memcpy(buffer + buffered, line, n);
	buffered += n;
}

static void list_write(struct pending_list *list)
{
	char text[LIST_BYTES + 8];
	uint64_t second = clock_now_ms() / CLOCK_MS_PER_S;

	if (list->n_bytes == 0)
		return;
	if (second != list->second)
		list->lines = 0;
	list->second = second;
	g_snprintf(text, sizeof(text), "items=%s", list->items);
	list->n_bytes = 0;
	if (list->lines++ < LIST_LINES_S)
		line_add(LOG_LEVEL_INFO, list->event, NULL, text);
	else
		dropped++;
}

void log_list_add(enum log_list which, const char *format, ...)
{
	struct pending_list *list = &lists[which];
	char item[LIST_BYTES / 4];
	size_t n;
	va_list args;

	if (log_max < LOG_LEVEL_INFO)
		return;
	va_start(args, format);
	g_vsnprintf(item, sizeof(item), format, args);
	va_end(args);
	/* Separators of the list that come from outside. */
	g_strdelimit(item, ", \t", '_');
	n = strlen(item);
	if (list->n_bytes + n + 2 > sizeof(list->items))
		list_write(list);
	if (list->n_bytes > 0)
		list->items[list->n_bytes++] = ',';
	memcpy(list->items + list->n_bytes, item, n + 1);
	list->n_bytes += n;
}

void log_flush(void)
{
	for (int i = 0; i < LOG_LIST_COUNT; i++)
		list_write(&lists[i]);
	if (dropped != dropped_said && buffered < sizeof(buffer) / 2) {
		char text[64];

		g_snprintf(text, sizeof(text), "lines=%" G_GUINT64_FORMAT, dropped - dropped_said);
		dropped_said = dropped;
		line_add(LOG_LEVEL_WARNING, "log_dropped", NULL, text);
	}
	while (buffered > 0) {
		struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
		ssize_t n;

		if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
			return;
		n = write(STDOUT_FILENO, buffer, MIN(buffered, WRITE_BYTES));
		if (n <= 0)
			return;
		buffered -= (size_t)n;
		memmove(buffer, buffer + n, buffered);
	}
}

static bool request_line_allowed(enum log_level level)
{
	uint64_t second = clock_now_ms() / CLOCK_MS_PER_S;
	unsigned int limit = level == LOG_LEVEL_INFO ? request_limit / 2 : request_limit;

	if (second != request_second) {
		request_second = second;
		request_lines = 0;
	}
	if (request_lines >= limit) {
		dropped++;
		return false;
	}
	request_lines++;
	return true;
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	char text[LINE_BYTES];
	va_list args;

	if (level > log_max)
		return;
	va_start(args, format);
	g_vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	line_add(level, event, NULL, text);
}

bool log_request(enum log_level level, const char *id, const char *event, const char *format, ...)
{
	char text[LINE_BYTES];
	va_list args;

	if (level > log_max || !request_line_allowed(level))
		return false;
	va_start(args, format);
	g_vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	line_add(level, event, id, text);
	return true;
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
