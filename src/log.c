#include "log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"

/*
 * About two seconds of lines at the default rate. When the buffer is full, new lines are dropped
 * and the buffered ones stay.
 */
#define BUFFER_BYTES 65536
#define LINE_BYTES 2048
/* A pipe that polls as writable accepts at least this many bytes without blocking (POSIX). */
#define WRITE_BYTES_MAX 4096

/* Limits of the lines that list requests; together about 20 KB a second for each kind of line. */
#define BATCH_BYTES 1000 /* items of one line */
#define BATCH_LINES_S 20

/* Items for the next line of one kind. */
struct batch {
	const char *event;
	char items[BATCH_BYTES]; /* separated by commas */
	size_t n_bytes;
	unsigned int n_lines; /* added to the log in the second that is stored below */
	uint64_t second;
};

static struct batch batches[] = {
#define X(symbol, name) {.event = (name)},
	LOG_BATCH_LIST(X)
#undef X
};
static const char *const level_names[] = {"error", "warning", "info"};
static char vm_name[64] = "-";
static enum log_level max_level = LOG_LEVEL_INFO;
static char buffer[BUFFER_BYTES];
static size_t n_buffered; /* bytes */
static guint64 n_dropped; /* lines */
static guint64 n_dropped_reported;
static unsigned int request_lines_s_max = 40;
static unsigned int n_request_lines; /* in request_second */
static uint64_t request_second;

void log_setup(const char *vm, enum log_level level)
{
	g_strlcpy(vm_name, vm, sizeof(vm_name));
	max_level = level;
}

void log_request_rate_set(unsigned int request_lines_s)
{
	request_lines_s_max = request_lines_s;
}

guint64 log_dropped(void)
{
	return n_dropped;
}

/* Prints a time like "2026-12-04T12:00:00.123Z"; the part up to the second is cached. */
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
			       level_names[level], vm_name, event, id ? "request=" : "",
			       id ? id : "", id ? " " : "", text);
	n = MIN(n, sizeof(line) - 2);
	/* A value from a caller, a leaf or the store must not start a line of its own. */
	for (size_t i = 0; i < n; i++)
		if (line[i] == '\r' || line[i] == '\n')
			line[i] = ' ';
	line[n++] = '\n';
	if (n_buffered + n > sizeof(buffer)) {
		n_dropped++;
		return;
	}
	memcpy(buffer + n_buffered, line, n);
	n_buffered += n;
}

/* Adds the line with the batch's items to the log and empties the batch. */
static void batch_write(struct batch *batch)
{
	char text[BATCH_BYTES + 8];
	uint64_t second = clock_now_ms() / CLOCK_MS_PER_S;

	if (batch->n_bytes == 0)
		return;
	if (second != batch->second)
		batch->n_lines = 0;
	batch->second = second;
	g_snprintf(text, sizeof(text), "items=%s", batch->items);
	batch->n_bytes = 0;
	if (batch->n_lines++ < BATCH_LINES_S)
		line_add(LOG_LEVEL_INFO, batch->event, NULL, text);
	else
		n_dropped++;
}

void log_batch_add(enum log_batch kind, const char *format, ...)
{
	struct batch *batch = &batches[kind];
	char item[BATCH_BYTES / 4];
	size_t n;
	va_list args;

	if (max_level < LOG_LEVEL_INFO)
		return;
	va_start(args, format);
	g_vsnprintf(item, sizeof(item), format, args);
	va_end(args);
	/* The item may hold a caller's text, and these characters separate items. */
	g_strdelimit(item, ", \t", '_');
	n = strlen(item);
	if (batch->n_bytes + n + 2 > sizeof(batch->items))
		batch_write(batch);
	if (batch->n_bytes > 0)
		batch->items[batch->n_bytes++] = ',';
	memcpy(batch->items + batch->n_bytes, item, n + 1);
	batch->n_bytes += n;
}

void log_flush(void)
{
	for (int i = 0; i < LOG_BATCH_COUNT; i++)
		batch_write(&batches[i]);
	if (n_dropped != n_dropped_reported && n_buffered < sizeof(buffer) / 2) {
		char text[64];

		g_snprintf(text, sizeof(text), "lines=%" G_GUINT64_FORMAT,
			   n_dropped - n_dropped_reported);
		n_dropped_reported = n_dropped;
		line_add(LOG_LEVEL_WARNING, "log_dropped", NULL, text);
	}
	while (n_buffered > 0) {
		struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
		ssize_t n;

		if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
			return;
		n = write(STDOUT_FILENO, buffer, MIN(n_buffered, WRITE_BYTES_MAX));
		if (n <= 0)
			return;
		n_buffered -= (size_t)n;
		memmove(buffer, buffer + n, n_buffered);
	}
}

/* Counts the line against the rate limit; false when the limit is reached. */
static bool request_line_take(enum log_level level)
{
	uint64_t second = clock_now_ms() / CLOCK_MS_PER_S;
	unsigned int limit =
		level == LOG_LEVEL_INFO ? request_lines_s_max / 2 : request_lines_s_max;

	if (second != request_second) {
		request_second = second;
		n_request_lines = 0;
	}
	if (n_request_lines >= limit) {
		n_dropped++;
		return false;
	}
	n_request_lines++;
	return true;
}

void log_event(enum log_level level, const char *event, const char *format, ...)
{
	char text[LINE_BYTES];
	va_list args;

	if (level > max_level)
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

	if (level > max_level || !request_line_take(level))
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
