#include "explain.h"

#include <string.h>

#define TIME_CHARS 24 /* length of "2026-12-04T12:00:00.123Z" */
/* Lines about the leaves and the VM are shown from this long before the request's end on. */
#define CONTEXT_MS 6000
#define CONTEXT_LINES_MAX 20
/* Steps back of a VM's clock are reported when they are longer than this. */
#define CLOCK_STEP_MS 1000

struct line {
	char *text; /* from the time stamp on */
	gint64 at_ms; /* wall clock */
	char *vm;
	char *event;
};

struct log_lines {
	GPtrArray *lines; /* struct line, of all files */
	GString *notes; /* about incomplete files and clock steps */
	guint64 n_dropped; /* lines that the processes left out of their logs */
};

static void line_free(gpointer data)
{
	struct line *line = data;

	g_free(line->text);
	g_free(line->vm);
	g_free(line->event);
	g_free(line);
}

/*
 * Returns the value of " name=" in a line without surrounding quotes, which the caller frees, or
 * NULL when the line has no such field.
 */
static char *value_find(const char *text, const char *name)
{
	g_autofree char *key = g_strdup_printf(" %s=", name);
	const char *at = strstr(text, key);
	size_t n;

	if (!at)
		return NULL;
	at += strlen(key);
	if (*at == '"') {
		at++;
		n = strcspn(at, "\"");
	} else {
		n = strcspn(at, " ");
	}
	return g_strndup(at, n);
}

/* Returns where the time of a line begins: tools that collect logs may write a prefix before it. */
static const char *time_find(const char *text)
{
	const char *level = strstr(text, "Z level=");

	return level && level - text >= TIME_CHARS - 1 ? level - (TIME_CHARS - 1) : NULL;
}

static struct line *line_parse(const char *text)
{
	const char *start = time_find(text);
	g_autofree char *time = start ? g_strndup(start, TIME_CHARS) : NULL;
	g_autoptr(GDateTime) at = time ? g_date_time_new_from_iso8601(time, NULL) : NULL;
	struct line *line;

	if (!at)
		return NULL;
	line = g_new0(struct line, 1);
	line->text = g_strdup(start);
	line->at_ms = g_date_time_to_unix(at) * 1000 + g_date_time_get_microsecond(at) / 1000;
	line->vm = value_find(start, "vm");
	line->event = value_find(start, "event");
	return line;
}

static void dropped_count(struct log_lines *s, const struct line *line)
{
	g_autofree char *lines = NULL;

	if (g_strcmp0(line->event, "log_dropped") != 0)
		return;
	lines = value_find(line->text, "lines");
	s->n_dropped += lines ? g_ascii_strtoull(lines, NULL, 10) : 0;
}

static void file_read(struct log_lines *s, const struct explain_file *file)
{
	g_auto(GStrv) texts = g_strsplit(file->text, "\n", -1);
	GHashTable *last = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	size_t n = strlen(file->text);

	if (n > 0 && file->text[n - 1] != '\n')
		g_string_append_printf(s->notes, "note: %s ends within a line\n", file->name);
	for (char **text = texts; *text; text++) {
		struct line *line = line_parse(*text);
		gint64 *previous_ms;

		if (!line)
			continue;
		previous_ms = line->vm ? g_hash_table_lookup(last, line->vm) : NULL;
		if (previous_ms && line->at_ms < *previous_ms - CLOCK_STEP_MS)
			g_string_append_printf(
				s->notes,
				"note: the clock of %s stepped back %" G_GINT64_FORMAT
				" ms in %s; the order around it is uncertain\n",
				line->vm, *previous_ms - line->at_ms, file->name);
		if (line->vm)
			g_hash_table_replace(last, g_strdup(line->vm),
					     g_memdup2(&line->at_ms, sizeof(line->at_ms)));
		dropped_count(s, line);
		g_ptr_array_add(s->lines, line);
	}
	g_hash_table_destroy(last);
}

static gint time_compare(gconstpointer a, gconstpointer b)
{
	const struct line *const *left = a;
	const struct line *const *right = b;

	return ((*left)->at_ms > (*right)->at_ms) - ((*left)->at_ms < (*right)->at_ms);
}

static bool lists_requests(const struct line *line)
{
	return g_strcmp0(line->event, "requests_begun") == 0 ||
	       g_strcmp0(line->event, "requests_brief") == 0;
}

/*
 * Returns the colon-separated parts of the item for the request id in a line that lists requests,
 * or NULL when the line does not list it. The caller frees them with g_strfreev.
 */
static char **item_find(const struct line *line, const char *id)
{
	g_autofree char *items = value_find(line->text, "items");
	g_auto(GStrv) list = g_strsplit(items ? items : "", ",", -1);

	for (char **item = list; *item; item++) {
		char **parts = g_strsplit(*item, ":", -1);

		if (g_strcmp0(parts[0], id) == 0)
			return parts;
		g_strfreev(parts);
	}
	return NULL;
}

static bool is_about_request(const struct line *line, const char *id)
{
	g_autofree char *request = NULL;

	if (lists_requests(line)) {
		g_auto(GStrv) item = item_find(line, id);

		return item != NULL;
	}
	request = value_find(line->text, "request");
	return request && strcmp(request, id) == 0;
}

/* For a request whose own log line was left out because of the limit on such lines. */
static void brief_append(GString *out, const struct line *line, const char *id)
{
	g_auto(GStrv) item = item_find(line, id);

	if (g_strv_length(item) != 4)
		return;
	g_string_append_printf(out,
			       "cause: %s (status %s), %s shards included; its log line was left "
			       "out because too many requests failed at the same time: see the "
			       "lines of the others\n",
			       item[1], item[2], item[3]);
}

/* Counts how often the words occur in a trace. */
static unsigned int words_count(const char *trace, const char *words)
{
	unsigned int n = 0;

	for (const char *at = strstr(trace, words); at; at = strstr(at + 1, words))
		n++;
	return n;
}

/* Appends for a request refused by its rank which capacity was short and who had it. */
static void ranks_append(GString *out, const char *trace)
{
	static const struct {
		const char *verdict;
		const char *text;
	} reasons[] = {
		{" backlog held=", "the leaves had too many calls to answer in time, most of"},
		{" reserved held=", "its calls would have made late those of"},
		{" behind held=", "a higher rank was served in time less often:"},
		{" share held=", "its route had more than its equal part of what was admitted for"},
	};

	const char *refused = strstr(trace, " refused ");
	g_auto(GStrv) words = refused ? g_strsplit_set(refused, " ;", 5) : NULL;

	if (!words || g_strv_length(words) < 5)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
		const char *at = strstr(trace, reasons[i].verdict);

		if (!at)
			continue;
		at += strlen(reasons[i].verdict);
		g_string_append_printf(out, "; %s %.*s (shard %s, leaf %s)", reasons[i].text,
				       (int)strcspn(at, ";"), at, words[2], words[3]);
	}
}

/* Appends for how many shards all usable leaves are outside the regions of the route. */
static void barred_append(GString *out, const char *trace)
{
	const char *barred = strstr(trace, " barred ");
	/* SERVICE LEAF "region" REGION "," N "of the shards" */
	g_auto(GStrv) words = barred ? g_strsplit(barred + strlen(" barred "), " ", 4) : NULL;
	const char *comma;

	if (!words || g_strv_length(words) < 4)
		return;
	comma = strstr(words[3], ", ");
	if (!comma)
		return;
	g_string_append_printf(out,
			       "; the route may not be served in the regions of the usable leaves "
			       "of %d shards (leaf %s, region %.*s)",
			       atoi(comma + 2), words[1], (int)(comma - words[3]), words[3]);
}

/* Appends how many first calls went to leaves that spreading chose, and the unevenness then. */
static void spread_append(GString *out, const struct line *line, const char *trace)
{
	g_autofree char *n = value_find(line->text, "spread");
	const char *uneven = trace ? strstr(trace, " spread uneven=") : NULL;

	if (!n || g_ascii_strtoull(n, NULL, 10) == 0)
		return;
	g_string_append_printf(out, "; %s first leaves were chosen by load spreading", n);
	if (uneven) {
		uneven += strlen(" spread uneven=");
		g_string_append_printf(out, " (greatest over mean load %.*s)",
				       (int)strcspn(uneven, ";"), uneven);
	}
}

static void missing_append(GString *out, const char *trace)
{
	unsigned int no_leaf = words_count(trace, " no leaf;");
	unsigned int unanswered = words_count(trace, " unanswered;");
	unsigned int lost = 0;

	for (const char *at = strstr(trace, " missing "); at; at = strstr(at + 1, " missing "))
		lost += g_str_has_suffix(at, " lost;") ||
			strncmp(at + strcspn(at, ";") - strlen(" lost"), " lost", 5) == 0;
	if (no_leaf)
		g_string_append_printf(out, "; %u shards had no known leaf", no_leaf);
	if (unanswered)
		g_string_append_printf(out, "; %u leaves had not answered", unanswered);
	if (lost)
		g_string_append_printf(out, "; calls to %u leaves were lost", lost);
	if (strstr(trace, " backlog;"))
		g_string_append(out, "; the leaves had too many calls to answer in time");
	barred_append(out, trace);
	if (strstr(trace, " memory;"))
		g_string_append(out, "; this VM held and expected as many bytes as it may");
	ranks_append(out, trace);
	if (strstr(trace, " denied "))
		g_string_append(out, "; the budget for repeated calls denied some");
}

static const char *refusal_reason(const char *text, const char *status)
{
	g_autofree char *why = value_find(text, "why");

	if (g_strcmp0(status, "404") == 0)
		return "no route of the version in force matches";
	if (g_strcmp0(why, "stopping") == 0)
		return "this VM was about to end its planned stop";
	if (g_strcmp0(why, "memory") == 0)
		return "this VM held as many bytes for slow callers and leaves as it may";
	if (g_strcmp0(status, "503") == 0)
		return "this VM had no configuration yet";
	return "a required field is absent";
}

/* Appends which version decided, when the line names it. */
static void version_append(GString *out, const struct line *line)
{
	g_autofree char *version = value_find(line->text, "version");
	g_autofree char *age = value_find(line->text, "version_age_ms");

	if (version && age)
		g_string_append_printf(out, "decided by version %s, in force on %s for %s ms\n",
				       version, line->vm ? line->vm : "?", age);
}

/*
 * Appends for each leaf that the request names the limit in force on the request's VM when it
 * ended.
 */
static void limits_append(GString *out, const struct log_lines *s, const struct line *done)
{
	GHashTable *limits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer leaf;
	gpointer value;

	for (guint i = 0; i < s->lines->len; i++) {
		const struct line *line = g_ptr_array_index(s->lines, i);
		g_autofree char *id = NULL;

		if (line->at_ms > done->at_ms || g_strcmp0(line->vm, done->vm) != 0 ||
		    !line->event || !g_str_has_prefix(line->event, "leaf_"))
			continue;
		id = value_find(line->text, "leaf");
		if (!id || !strstr(done->text, id))
			continue;
		if (strcmp(line->event, "leaf_limited") == 0)
			g_hash_table_replace(limits, g_steal_pointer(&id), (gpointer)line);
		else if (strcmp(line->event, "leaf_unlimited") == 0 ||
			 strcmp(line->event, "leaf_gone") == 0)
			g_hash_table_remove(limits, id);
	}
	g_hash_table_iter_init(&iter, limits);
	while (g_hash_table_iter_next(&iter, &leaf, &value)) {
		const struct line *line = value;
		g_autofree char *all = value_find(line->text, "limit_per_s");
		g_autofree char *own = value_find(line->text, "own_per_s");

		g_string_append_printf(out,
				       "leaf %s had a limit of %s calls a second, %s of them for "
				       "%s\n",
				       (const char *)leaf, all ? all : "?", own ? own : "?",
				       done->vm);
	}
	g_hash_table_destroy(limits);
}

/*
 * Appends the evacuations in force on the request's VM when the line was written, however long
 * before they began. A restart of the process forgets them; it logs them anew.
 */
static void evacuations_append(GString *out, const struct log_lines *s, const struct line *done)
{
	GHashTable *begun = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer dc;
	gpointer value;

	for (guint i = 0; i < s->lines->len; i++) {
		const struct line *line = g_ptr_array_index(s->lines, i);
		g_autofree char *name = NULL;

		if (line->at_ms > done->at_ms || g_strcmp0(line->vm, done->vm) != 0)
			continue;
		name = value_find(line->text, "dc");
		if (g_strcmp0(line->event, "started") == 0)
			g_hash_table_remove_all(begun);
		else if (name && g_strcmp0(line->event, "evacuation_begun") == 0)
			g_hash_table_replace(begun, g_steal_pointer(&name), (gpointer)line);
		else if (name && g_strcmp0(line->event, "evacuation_ended") == 0)
			g_hash_table_remove(begun, name);
	}
	g_hash_table_iter_init(&iter, begun);
	while (g_hash_table_iter_next(&iter, &dc, &value)) {
		const struct line *line = value;
		g_autofree char *revision = value_find(line->text, "revision");

		g_string_append_printf(out,
				       "data centre %s was evacuated by revision %s, known to %s "
				       "for %" G_GINT64_FORMAT " ms\n",
				       (const char *)dc, revision ? revision : "?", done->vm,
				       done->at_ms - line->at_ms);
	}
	g_hash_table_destroy(begun);
}

/* Appends one sentence on why the request ended as it did. */
static void cause_append(GString *out, const struct line *line)
{
	g_autofree char *outcome = value_find(line->text, "outcome");
	g_autofree char *status = value_find(line->text, "status");
	g_autofree char *in = value_find(line->text, "in");
	g_autofree char *of = value_find(line->text, "of");
	g_autofree char *trace = value_find(line->text, "trace");
	g_autofree char *wait = value_find(line->text, "wait_ms");
	g_autofree char *took = value_find(line->text, "took_us");

	if (g_strcmp0(line->event, "request_refused") == 0) {
		g_string_append_printf(out, "cause: refused with %s before any leaf call: %s\n",
				       status, refusal_reason(line->text, status));
		return;
	}
	g_string_append_printf(out, "cause: %s (status %s), %s of %s shards included",
			       outcome ? outcome : "?", status ? status : "?", in ? in : "?",
			       of ? of : "?");
	if (g_strcmp0(outcome, "left") == 0)
		g_string_append(out, "; the caller closed its connection");
	if (g_strcmp0(outcome, "refused") == 0)
		g_string_append(out, "; no leaf ran it");
	if (trace)
		missing_append(out, trace);
	spread_append(out, line, trace);
	if (took && wait)
		g_string_append_printf(out, "; %" G_GUINT64_FORMAT " of %s ms passed",
				       g_ascii_strtoull(took, NULL, 10) / 1000, wait);
	g_string_append(out, "\n");
	version_append(out, line);
}

/* For a request whose end no line records: says whether its VM was restarted. */
static void unended_append(GString *out, const struct log_lines *s, const struct line *begun)
{
	for (guint i = 0; i < s->lines->len; i++) {
		const struct line *line = g_ptr_array_index(s->lines, i);

		if (line->at_ms < begun->at_ms || g_strcmp0(line->vm, begun->vm) != 0 ||
		    g_strcmp0(line->event, "started") != 0)
			continue;
		g_string_append_printf(
			out,
			"cause: %s was lost while it worked on the request, and started "
			"again %" G_GINT64_FORMAT
			" ms after the request began; the request may have run\n",
			begun->vm, line->at_ms - begun->at_ms);
		return;
	}
	g_string_append_printf(out, "cause: begun on %s; no log line records its end\n", begun->vm);
}

/* True for an earlier line of the same VM about a leaf that the request names, or about the VM. */
static bool is_context(const struct line *line, const struct line *done)
{
	static const char *const general[] = {
		"store_lost",	  "store_back",	      "store_reading",
		"pause_detected", "started",	      "stop_announced",
		"config_applied", "evacuation_begun", "evacuation_ended"};
	g_autofree char *leaf = value_find(line->text, "leaf");

	if (g_strcmp0(line->vm, done->vm) != 0 || line->at_ms > done->at_ms ||
	    line->at_ms < done->at_ms - CONTEXT_MS)
		return false;
	if (leaf)
		return strstr(done->text, leaf) != NULL;
	for (size_t i = 0; i < G_N_ELEMENTS(general); i++)
		if (g_strcmp0(line->event, general[i]) == 0)
			return true;
	return false;
}

static void context_append(GString *out, const struct log_lines *s, const struct line *done)
{
	unsigned int n = 0;

	for (guint i = 0; i < s->lines->len; i++) {
		const struct line *line = g_ptr_array_index(s->lines, i);

		if (!is_context(line, done))
			continue;
		if (n++ == 0)
			g_string_append(out, "earlier lines about the VM and the leaves:\n");
		if (n <= CONTEXT_LINES_MAX)
			g_string_append_printf(out, "  %s\n", line->text);
	}
	if (n > CONTEXT_LINES_MAX)
		g_string_append_printf(out, "  and %u more lines\n", n - CONTEXT_LINES_MAX);
}

static void steps_append(GString *out, const struct line *line)
{
	g_autofree char *trace = value_find(line->text, "trace");
	g_auto(GStrv) steps = g_strsplit(trace ? trace : "", ";", -1);

	g_string_append_printf(out, "  %s\n", line->text);
	for (char **step = steps; *step; step++)
		if (**step)
			g_string_append_printf(out, "    %s\n", *step);
}

/* Appends what one line says about the request. True when the line records the request's end. */
static bool line_append(GString *out, GString *steps, const struct line *line, const char *id)
{
	bool is_begun = g_strcmp0(line->event, "request_begun") == 0 ||
			g_strcmp0(line->event, "requests_begun") == 0;

	if (g_strcmp0(line->event, "requests_brief") == 0)
		brief_append(out, line, id);
	else if (!is_begun)
		cause_append(out, line);
	if (!lists_requests(line))
		steps_append(steps, line);
	return !is_begun;
}

char *explain_request(const char *id, const struct explain_file *files, unsigned int n_files,
		      bool *found)
{
	struct log_lines s = {g_ptr_array_new_with_free_func(line_free), g_string_new(NULL), 0};
	GString *out = g_string_new(NULL);
	GString *steps = g_string_new(NULL);
	const struct line *begun = NULL;
	const struct line *end = NULL;

	for (unsigned int i = 0; i < n_files; i++)
		file_read(&s, &files[i]);
	g_ptr_array_sort(s.lines, time_compare);
	for (guint i = 0; i < s.lines->len; i++) {
		const struct line *line = g_ptr_array_index(s.lines, i);

		if (!is_about_request(line, id))
			continue;
		/* A line that lists requests is written later and may follow a request's end. */
		if (line_append(out, steps, line, id))
			end = line;
		else
			begun = line;
	}
	*found = begun || end;
	if (begun && !end)
		unended_append(out, &s, begun);
	if (end) {
		limits_append(out, &s, end);
		evacuations_append(out, &s, end);
	}
	g_string_append(out, steps->str);
	g_string_free(steps, TRUE);
	if (*found)
		context_append(out, &s, end ? end : begun);
	else
		g_string_append_printf(
			out,
			"no line names request %s in %u lines of %u files; %" G_GUINT64_FORMAT
			" lines were left out when they were "
			"written\n",
			id, s.lines->len, n_files, s.n_dropped);
	g_string_append(out, s.notes->str);
	g_string_free(s.notes, TRUE);
	g_ptr_array_free(s.lines, TRUE);
	return g_string_free(out, FALSE);
}
