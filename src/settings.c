#include "settings.h"

#include "log.h"
#include "manifest.h"
#include "region.h"
#include "result.h"

#include <string.h>

#define NAME_BYTES_MAX 63

static bool text_check(const char *flag, const char *env, bool is_required, char **text,
		       GError **error)
{
	if (!*text)
		*text = g_strdup(g_getenv(env));
	if (is_required && (!*text || !**text)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING, "--%s (or %s) is required",
			    flag, env);
		return false;
	}
	return true;
}

static bool number_check(const char *flag, const char *env, const char *text, uint64_t fallback,
			 uint64_t min, uint64_t max, uint64_t *out, GError **error)
{
	if (!text)
		text = g_getenv(env);
	*out = fallback;
	/* A template leaves the value empty where the platform has none. */
	if (text && *text == '\0' && fallback == 0 && min == 0)
		return true;
	if (text && !g_ascii_string_to_unsigned(text, 10, min, max, out, NULL)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--%s (or %s): '%s' is not a whole number from %" G_GUINT64_FORMAT
			    " to %" G_GUINT64_FORMAT,
			    flag, env, text, min, max);
		return false;
	}
	return true;
}

static bool address_check(const char *flag, const char *text, GError **error)
{
	if (manifest_address_is_valid(text))
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
		    "--%s: '%s' is not an address of the form IP:PORT", flag, text);
	return false;
}

static bool addresses_check(const char *flag, const char *text, GError **error)
{
	g_auto(GStrv) addresses = g_strsplit(text, ",", -1);

	for (char **address = addresses; *address; address++)
		if (!address_check(flag, *address, error))
			return false;
	return true;
}

static bool name_check(const char *flag, const char *text, GError **error)
{
	for (const char *c = text; *c; c++) {
		if (!g_ascii_isalnum(*c) && !strchr("-_.", *c)) {
			g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
				    "--%s: '%s' has a character other than letters, digits, '-', "
				    "'_' and '.'",
				    flag, text);
			return false;
		}
	}
	if (strlen(text) <= NAME_BYTES_MAX)
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
		    "--%s: the name is longer than %d bytes", flag, NAME_BYTES_MAX);
	return false;
}

static bool optional_address_check(const char *flag, const char *text, GError **error)
{
	return !text || address_check(flag, text, error);
}

/* Largest number of cores accepted for --cpu. */
#define CPU_MAX 1024

static bool cpu_check(const char *text, GError **error)
{
	char *end = NULL;
	double cores = text ? g_ascii_strtod(text, &end) : 1;

	if (!text || (end != text && *end == '\0' && cores > 0 && cores <= CPU_MAX))
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
		    "--cpu: '%s' is not a number of cores above 0 and up to %d", text, CPU_MAX);
	return false;
}

uint32_t settings_cpu_milli(const struct settings *s)
{
	return s->cpu ? (uint32_t)(g_ascii_strtod(s->cpu, NULL) * 1000) : 1000;
}

/* Largest number of megabits a second accepted for --link-mbps. */
#define LINK_MBPS_MAX 10000000

static bool link_check(const char *text, GError **error)
{
	char *end = NULL;
	double mbps = text && *text ? g_ascii_strtod(text, &end) : 0;

	if (!text || !*text || (end != text && *end == '\0' && mbps >= 0 && mbps <= LINK_MBPS_MAX))
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
		    "--link-mbps: '%s' is not a number of megabits a second from 0 to %d", text,
		    LINK_MBPS_MAX);
	return false;
}

double settings_link_mbps(const struct settings *s)
{
	return s->link_mbps ? g_ascii_strtod(s->link_mbps, NULL) : 0;
}

static bool held_check(uint64_t held_mb, uint64_t memory_mb, GError **error)
{
	if (memory_mb == 0 || held_mb <= memory_mb)
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
		    "--held-mb: %" G_GUINT64_FORMAT " is above --memory-mb %" G_GUINT64_FORMAT,
		    held_mb, memory_mb);
	return false;
}

bool settings_has_spread(const struct settings *s)
{
	return g_strcmp0(s->spread, "off") != 0;
}

/*
 * Sets *out to the decimal number times the factor, rounded down, unless the text is empty or NULL.
 * The result must lie between min and max.
 */
static bool decimal_check(const char *flag, const char *text, double factor, uint64_t min,
			  uint64_t max, uint64_t *out, GError **error)
{
	char *end = NULL;
	double value;

	if (!text || !*text)
		return true;
	value = g_ascii_strtod(text, &end) * factor;
	/* 0.29 * 100 is a little below 29 in binary. */
	value += 1e-6;
	if (end == text || *end != '\0' || !(value >= (double)min && value < (double)max + 1)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--%s: '%s' is not a number from %g to %g", flag, text,
			    (double)min / factor, (double)max / factor);
		return false;
	}
	*out = (uint64_t)value;
	return true;
}

static bool decimals_check(struct settings *s, GError **error)
{
	return decimal_check("stop-s", s->stop_s, 1000, 100, 600000, &s->stop_ms, error) &&
	       decimal_check("repeat-window-s", s->repeat_window_s, 1000, 100, 600000,
			     &s->repeat_window_ms, error) &&
	       decimal_check("repeat-ratio", s->repeat_ratio, 100, 0, 100, &s->repeat_pct, error);
}

static bool regions_check(const char *text, GError **error)
{
	struct region_table *table = region_table_parse(text, error);

	region_table_destroy(table);
	return table != NULL;
}

static bool settings_check(struct settings *s, GError **error)
{
	enum log_level level;

	if (!optional_address_check("gateway", s->gateway, error) ||
	    !optional_address_check("directory", s->directory, error) ||
	    !optional_address_check("ready", s->ready, error) || !cpu_check(s->cpu, error) ||
	    !link_check(s->link_mbps, error) || !held_check(s->held_mb, s->memory_mb, error))
		return false;
	if (!name_check("name", s->name, error) || !name_check("dc", s->dc, error) ||
	    !address_check("http", s->http, error) || !address_check("rpc", s->rpc, error) ||
	    !address_check("platform", s->platform, error))
		return false;
	if (s->peers && !addresses_check("peers", s->peers, error))
		return false;
	if (!decimals_check(s, error) || !regions_check(s->dc_regions, error))
		return false;
	if (s->spread && strcmp(s->spread, "auto") != 0 && strcmp(s->spread, "off") != 0) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--spread: '%s' is not auto or off", s->spread);
		return false;
	}
	if (s->log_level && !log_level_parse(s->log_level, &level)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--log-level: '%s' is not error, warning or info", s->log_level);
		return false;
	}
	return true;
}

static bool line_load(const char *path, char *line, GError **error)
{
	char *equals = strchr(line, '=');

	g_strstrip(line);
	if (!*line || *line == '#')
		return true;
	if (!equals || !g_str_has_prefix(line, "APRICOT_")) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "%s: line '%s' does not have the form APRICOT_NAME=VALUE", path, line);
		return false;
	}
	*equals = '\0';
	g_setenv(line, equals + 1, TRUE);
	return true;
}

gboolean settings_file_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	GError *read_error = NULL;

	if (!g_file_get_contents(path, &text, NULL, &read_error)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING, "--settings: %s",
			    read_error->message);
		g_error_free(read_error);
		return FALSE;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++)
		if (!line_load(path, *line, error))
			return FALSE;
	return TRUE;
}

bool settings_file_stop_ms(const char *path, uint64_t *stop_ms, GError **error)
{
	struct settings *s = g_new0(struct settings, 1);
	bool ok = true;

#define X(field, flag, env, required, help) g_unsetenv(env);
	SETTINGS_TEXT_LIST(X)
#undef X
#define X(field, flag, env, fallback, min, max, help) g_unsetenv(env);
	SETTINGS_NUMBER_LIST(X)
#undef X
	ok = settings_file_load(path, error);
#define X(field, flag, env, required, help) \
	ok = ok && text_check(flag, env, false, &s->field, error);
	SETTINGS_TEXT_LIST(X)
#undef X
#define X(field, flag, env, fallback, min, max, help) \
	ok = ok && number_check(flag, env, NULL, fallback, min, max, &s->field, error);
	SETTINGS_NUMBER_LIST(X)
#undef X
	ok = ok && decimals_check(s, error);
	*stop_ms = s->stop_ms;
	settings_destroy(s);
	return ok;
}

struct settings *settings_create(int argc, char **argv, GError **error)
{
	struct settings *s = g_new0(struct settings, 1);
#define X(field, flag, env, fallback, min, max, help) char *field##_text = NULL;
	SETTINGS_NUMBER_LIST(X)
#undef X
	const GOptionEntry entries[] = {
#define X(field, flag, env, required, help) \
	{flag, 0, 0, G_OPTION_ARG_STRING, &s->field, help " [" env "]", "TEXT"},
		SETTINGS_TEXT_LIST(X)
#undef X
#define X(field, flag, env, fallback, min, max, help)                                              \
	{flag, 0, 0, G_OPTION_ARG_STRING, &field##_text, help " [" env ", default " #fallback "]", \
	 "N"},
			SETTINGS_NUMBER_LIST(X)
#undef X
				G_OPTION_ENTRY_NULL};
	GOptionContext *context =
		g_option_context_new("- query tier daemon, one for each entry VM");
	GError *parse_error = NULL;
	bool ok = true;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &parse_error)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING, "%s", parse_error->message);
		g_error_free(parse_error);
		ok = false;
	} else if (argc > 1) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING, "unexpected argument '%s'",
			    argv[1]);
		ok = false;
	}
	if (ok && !s->settings)
		s->settings = g_strdup(g_getenv("APRICOT_SETTINGS"));
	if (ok && s->settings)
		ok = settings_file_load(s->settings, error);
	/* The template leaves it empty where the platform names no memory. */
	if (g_strcmp0(g_getenv("APRICOT_MEMORY_MB"), "") == 0)
		g_unsetenv("APRICOT_MEMORY_MB");
#define X(field, flag, env, required, help) \
	ok = ok && text_check(flag, env, required, &s->field, error);
	SETTINGS_TEXT_LIST(X)
#undef X
#define X(field, flag, env, fallback, min, max, help) \
	ok = ok && number_check(flag, env, field##_text, fallback, min, max, &s->field, error);
	SETTINGS_NUMBER_LIST(X)
#undef X
#define X(field, flag, env, fallback, min, max, help) g_free(field##_text);
	SETTINGS_NUMBER_LIST(X)
#undef X
	g_option_context_free(context);
	if (ok && settings_check(s, error))
		return s;
	settings_destroy(s);
	return NULL;
}

void settings_destroy(struct settings *s)
{
	if (!s)
		return;
#define X(field, flag, env, required, help) g_free(s->field);
	SETTINGS_TEXT_LIST(X)
#undef X
	g_free(s);
}
