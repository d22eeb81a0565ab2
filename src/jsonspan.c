#include "jsonspan.h"

#include <string.h>

static void byte_skip(struct json_span *text)
{
	text->at++;
	text->n--;
}

static void blanks_skip(struct json_span *text)
{
	while (text->n > 0 && strchr(" \t\r\n", *text->at) && *text->at)
		byte_skip(text);
}

static bool byte_take(struct json_span *text, char byte)
{
	blanks_skip(text);
	if (text->n == 0 || *text->at != byte)
		return false;
	byte_skip(text);
	return true;
}

/* Skips a string; false when it does not end. */
static bool string_skip(struct json_span *text)
{
	byte_skip(text);
	while (text->n > 0) {
		char c = *text->at;

		byte_skip(text);
		if (c == '"')
			return true;
		if (c == '\\' && text->n > 0)
			byte_skip(text);
	}
	return false;
}

/* Skips an object or array, of any depth; false when it does not end. */
static bool nested_skip(struct json_span *text)
{
	size_t depth = 0;

	while (text->n > 0) {
		char c = *text->at;

		if (c == '"') {
			if (!string_skip(text))
				return false;
			continue;
		}
		byte_skip(text);
		if (c == '{' || c == '[')
			depth++;
		else if ((c == '}' || c == ']') && --depth == 0)
			return true;
	}
	return false;
}

static bool value_take(struct json_span *text, struct json_span *value)
{
	bool is_whole = true;

	blanks_skip(text);
	*value = *text;
	if (text->n == 0)
		return false;
	if (*text->at == '"')
		is_whole = string_skip(text);
	else if (*text->at == '{' || *text->at == '[')
		is_whole = nested_skip(text);
	else
		while (text->n > 0 && !strchr(",]} \t\r\n", *text->at))
			byte_skip(text);
	value->n -= text->n;
	return is_whole && value->n > 0;
}

bool json_span_is_whole(struct json_span text)
{
	struct json_span value;

	if (!value_take(&text, &value))
		return false;
	blanks_skip(&text);
	return text.n == 0;
}

bool json_span_member(struct json_span object, const char *name, struct json_span *value)
{
	size_t n_name = strlen(name);
	struct json_span key;

	if (!byte_take(&object, '{'))
		return false;
	do {
		if (!value_take(&object, &key) || !byte_take(&object, ':') ||
		    !value_take(&object, value))
			return false;
		if (key.n == n_name + 2 && strncmp(key.at + 1, name, n_name) == 0)
			return true;
	} while (byte_take(&object, ','));
	return false;
}

bool json_span_array(struct json_span array, struct json_span *elements)
{
	struct json_span whole;

	if (!value_take(&array, &whole) || *whole.at != '[')
		return false;
	*elements = (struct json_span){whole.at + 1, whole.n - 2};
	return true;
}

bool json_span_next(struct json_span *elements, struct json_span *element)
{
	blanks_skip(elements);
	if (!value_take(elements, element))
		return false;
	return byte_take(elements, ',') || elements->n == 0;
}

/* The four hexadecimal digits after "\\u"; -1 when there are fewer. */
static int unit_parse(const char *at, const char *end)
{
	int unit = 0;

	if (end - at < 6 || at[0] != '\\' || at[1] != 'u')
		return -1;
	for (int i = 2; i < 6; i++) {
		int digit = g_ascii_xdigit_value(at[i]);

		if (digit < 0)
			return -1;
		unit = unit * 16 + digit;
	}
	return unit;
}

static void code_append(GString *out, int code)
{
	if (code < 0xd800 || code > 0xdfff) {
		g_string_append_unichar(out, (gunichar)code);
		return;
	}
	g_string_append_c(out, (char)(0xe0 | code >> 12));
	g_string_append_c(out, (char)(0x80 | (code >> 6 & 0x3f)));
	g_string_append_c(out, (char)(0x80 | (code & 0x3f)));
}

/* Appends what the escape at the position stands for; returns the position after it. */
static const char *escape_append(GString *out, const char *at, const char *end)
{
	static const char plain[] = "\"\\/bfnrt";
	static const char values[] = "\"\\/\b\f\n\r\t";
	int unit = unit_parse(at, end);
	int low = unit >= 0xd800 && unit < 0xdc00 ? unit_parse(at + 6, end) : -1;
	const char *found = end - at > 1 && at[1] ? strchr(plain, at[1]) : NULL;

	if (low >= 0xdc00 && low <= 0xdfff) {
		code_append(out, 0x10000 + ((unit - 0xd800) << 10) + (low - 0xdc00));
		return at + 12;
	}
	if (unit >= 0) {
		code_append(out, unit);
		return at + 6;
	}
	if (found) {
		g_string_append_c(out, values[found - plain]);
		return at + 2;
	}
	g_string_append_c(out, *at);
	return at + 1;
}

GString *json_span_string(struct json_span string)
{
	const char *end = string.at + string.n - 1;
	GString *out;

	if (string.n < 2 || *string.at != '"' || *end != '"')
		return NULL;
	out = g_string_new(NULL);
	for (const char *at = string.at + 1; at < end;) {
		if (*at == '\\')
			at = escape_append(out, at, end);
		else
			g_string_append_c(out, *at++);
	}
	return out;
}
