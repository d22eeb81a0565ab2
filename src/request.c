#include "request.h"

#include <string.h>

#define BODY_BYTES_MAX 65536
#define NAME_BYTES_MAX 63
#define ID_BYTES_MAX 159
#define DEADLINE_MS_MAX 60000

/*
 * Copies a string field; a missing optional field gives "". Returns false with *problem set when
 * the field is not a string, is too long, or is required but missing or empty.
 */
static bool field_read(const json_t *body, const char *name, size_t max_bytes, bool is_required,
		       char **out, const char **problem)
{
	const json_t *value = json_object_get(body, name);
	const char *text = json_string_value(value);

	if (!value && !is_required) {
		*out = g_strdup("");
		return true;
	}
	if (!text || strlen(text) > max_bytes || (is_required && !*text)) {
		*problem = name;
		return false;
	}
	*out = g_strdup(text);
	return true;
}

static bool deadline_read(const json_t *body, uint32_t *deadline_ms, const char **problem)
{
	const json_t *value = json_object_get(body, "deadline_ms");
	json_int_t n = json_integer_value(value);

	if (!value)
		return true;
	if (!json_is_integer(value) || n < 1 || n > DEADLINE_MS_MAX) {
		*problem = "deadline_ms";
		return false;
	}
	*deadline_ms = (uint32_t)n;
	return true;
}

/* Reads the query of a search, or the body of a command, as compact JSON text. */
static bool payload_read(const json_t *body, bool is_query, char **out, const char **problem)
{
	const char *name = is_query ? "query" : "body";
	const json_t *value = json_object_get(body, name);

	if (!value) {
		*problem = name;
		return false;
	}
	*out = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	/*
	 * A number can get longer when it is written again. A payload over the limit fits into no
	 * call to a holder.
	 */
	if (!*out || strlen(*out) > BODY_BYTES_MAX) {
		*problem = is_query ? "query: too long" : "body: too long";
		return false;
	}
	return true;
}

static bool request_read(struct caller_request *r, const json_t *body, bool is_command,
			 const char **problem)
{
	if (!json_is_object(body)) {
		*problem = "body: a JSON object is required";
		return false;
	}
	if (!field_read(body, "service", NAME_BYTES_MAX, true, &r->service, problem) ||
	    !field_read(body, "class", NAME_BYTES_MAX, false, &r->klass, problem) ||
	    !deadline_read(body, &r->deadline_ms, problem))
		return false;
	if (!is_command)
		return payload_read(body, true, &r->body, problem);
	return field_read(body, "id", ID_BYTES_MAX, true, &r->id, problem) &&
	       field_read(body, "key", BODY_BYTES_MAX, true, &r->key, problem) &&
	       payload_read(body, false, &r->body, problem);
}

bool request_parse(struct caller_request *r, const char *text, size_t n_bytes, bool is_command,
		   char **problem)
{
	json_error_t json_error;
	json_t *body = json_loadb(text, n_bytes, 0, &json_error);
	const char *reason = json_error.text;
	bool ok = body && request_read(r, body, is_command, &reason);

	/*
	 * The parser's message can be cut off within a character. The response is JSON, which must
	 * be valid UTF-8.
	 */
	if (!ok)
		*problem = g_utf8_make_valid(reason, -1);
	json_decref(body);
	return ok;
}
