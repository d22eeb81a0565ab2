/*
 * Leaving marks of backend servers on this VM and their exchange with the other holders of the same
 * groups. Part of the service "holder", which owns it and passes its messages in.
 */
#ifndef APRICOT_MARKS_H
#define APRICOT_MARKS_H

#include "kernel.h"
#include "leaving.h"
#include "manifest.h"
#include "proto/apricot.h"
#include "routing.h"

#include <jansson.h>

G_BEGIN_DECLS

struct marks;

/* kernel and routing are borrowed and outlive the marks. */
struct marks *marks_create(struct kernel *k, struct routing *routing);
void marks_destroy(struct marks *m);

/* What the holder's leaf groups ask for each call; stays the marks'. */
struct leaving *marks_leaving(struct marks *m);
/* Takes a reference: the groups decide who else hears of a mark. */
void marks_manifest_set(struct marks *m, struct manifest *manifest);

/* A leaf answered that its backend server drains; other holders are told when that is new. */
void marks_drain_seen(struct marks *m, const char *backend, uint64_t incarnation);
/* Marks that another VM has sent. */
void marks_receive(struct marks *m, const apr_mark_args *args);
/* The platform's VM list of the version; what is new is passed on. */
void marks_list_read(struct marks *m, const json_t *vms, uint64_t version);

G_END_DECLS

#endif
