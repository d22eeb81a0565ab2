/*
 * What the reader of a routing configuration reports beside its result: each error, and whatever it
 * leaves out or reads as something else. The configuration check listens. Daemons do not, and
 * refuse a configuration at its first error.
 */
#ifndef APRICOT_MAPNOTE_H
#define APRICOT_MAPNOTE_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

enum mapnote_kind {
	MAPNOTE_REFUSED, /* the configuration is refused */
	MAPNOTE_ENTRY_SKIPPED, /* an entry of a list is left out */
	MAPNOTE_VALUE_REPLACED, /* a field is left out or read as another value */
	MAPNOTE_MEMBER_UNKNOWN, /* a member is not read at all */
	MAPNOTE_SERVICE_REPEATED, /* a service is described again and the last description holds */
};

/* Where in the configuration: "LIST", "LIST[INDEX]" or "LIST[INDEX] NAME". */
struct mapnote_place {
	const char *list;
	int index; /* -1: list is no list */
	const char *name; /* as it was read, not escaped; NULL: none */
};

/* A listener. */
struct mapnotes {
	/* place and text are valid during the call; text is not escaped. */
	void (*add)(struct mapnotes *notes, enum mapnote_kind kind,
		    const struct mapnote_place *place, const char *text);
};

/* Does nothing when notes is NULL. */
void mapnotes_add(struct mapnotes *notes, enum mapnote_kind kind, const struct mapnote_place *place,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);
/*
 * Reports an error. Sets *error to RESULT_BAD_MANIFEST with the text unless an error is set there.
 * True when there is a listener, who wants to hear of further errors.
 */
bool mapnotes_refuse(struct mapnotes *notes, const struct mapnote_place *place, GError **error,
		     const char *format, ...) G_GNUC_PRINTF(4, 5);

G_END_DECLS

#endif
