/*
 * Says in words what differs between two configurations of the same kind, for an operator who is
 * about to replace one by the other.
 */
#ifndef APRICOT_MAPDIFF_H
#define APRICOT_MAPDIFF_H

#include "manifest.h"
#include "routemap.h"

#include <glib.h>

G_BEGIN_DECLS

/* Characters of a name that are shown. */
#define MAPDIFF_NAME_MAX 80

struct mapdiff_line {
	char *path; /* such as "routes[3] NAME" */
	char *text;
};

/* The caller owns the result and fills it with the functions below. */
GPtrArray *mapdiff_lines_create(void); /* struct mapdiff_line */

/*
 * Append one line for each difference, in an order that depends on nothing but the contents. Routes
 * are the same route if host and prefix are equal.
 */
void mapdiff_routemaps(GPtrArray *lines, const struct routemap *from, const struct routemap *to);
void mapdiff_manifests(GPtrArray *lines, const struct manifest *from, const struct manifest *to);

/* The text on one line: at most n_max characters, with "?" for those that cannot be printed. */
char *mapdiff_text_show(const char *text, unsigned int n_max);
/* "routes[I] NAME" for the route at index i of the map. */
char *mapdiff_route_path(const struct routemap *m, guint i);
/* "services NAME". */
char *mapdiff_service_path(const char *name);
/* The keys of a table whose keys are strings, sorted; they belong to the table. */
GPtrArray *mapdiff_keys_sorted(GHashTable *table);

G_END_DECLS

#endif
