/*
 * Cuts JSON text into the members of an object and the elements of an array without parsing them,
 * so that one value that the parser refuses (a number past 64 bits, half of a surrogate pair, bytes
 * that are no UTF-8, deep nesting) can be left out without its neighbours. Spans point into the
 * text, which must outlive them. Nothing is checked but brackets and strings: what a span holds has
 * to be parsed.
 */
#ifndef APRICOT_JSONSPAN_H
#define APRICOT_JSONSPAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

struct json_span {
	const char *at;
	size_t n; /* bytes */
};

/* True when the text is one value that ends, between blanks. */
bool json_span_is_whole(struct json_span text);
/* Finds the first member of the object with the name, written without escapes; false without one.
 */
bool json_span_member(struct json_span object, const char *name, struct json_span *value);

/* What is between the brackets of an array; false when the span is no array. */
bool json_span_array(struct json_span array, struct json_span *elements);
/*
 * Takes the next element off the elements. False when none is left, with elements->n set to 0, or
 * when what follows is no element that ends at a comma or at the end.
 */
bool json_span_next(struct json_span *elements, struct json_span *element);

/*
 * The bytes of a string, which the caller frees, or NULL when the span is no string. Bytes that are
 * not UTF-8 stay as they are, half a surrogate pair becomes three bytes of the same pattern, and an
 * escape that JSON does not know stays as it is.
 */
GString *json_span_string(struct json_span string);

G_END_DECLS

#endif
