#include "mapnote.h"

#include "result.h"

void mapnotes_add(struct mapnotes *notes, enum mapnote_kind kind, const struct mapnote_place *place,
		  const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	if (!notes)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	notes->add(notes, kind, place, text);
}

bool mapnotes_refuse(struct mapnotes *notes, const struct mapnote_place *place, GError **error,
		     const char *format, ...)
{
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	if (error && !*error)
		g_set_error_literal(error, RESULT_ERROR, RESULT_BAD_MANIFEST, text);
	if (!notes)
		return false;
	notes->add(notes, MAPNOTE_REFUSED, place, text);
	return true;
}
