/*
 * This VM's marks of leaving backend servers, and their exchange with the VMs that hold the same
 * groups. Part of the service "holder", which owns the object and passes on the messages for it.
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

/* The caller owns the returned object; k and routing are borrowed and must outlive it. */
struct marks *marks_create(struct kernel *k, struct routing *routing);
void marks_destroy(struct marks *m); /* accepts NULL */

/* The marks, which the leaf groups check for each call. Borrowed: valid until marks_destroy(). */
struct leaving *marks_leaving(struct marks *m);
/* Takes a reference. The manifest's groups decide which other VMs a mark is sent to. */
void marks_manifest_set(struct marks *m, struct manifest *manifest);

/*
 * Marks a backend server as leaving after one of its leaves answered that the server drains. A new
 * mark is sent to the holder and the standby of each of the server's groups.
 */
void marks_drain_seen(struct marks *m, const char *backend, uint64_t incarnation);
/* Applies marks that another VM has sent. They are not sent on. */
void marks_receive(struct marks *m, const apr_mark_args *args);
/*
 * Applies the platform's VM list. A change of a backend server's state is sent to the holder and
 * the standby of each of its groups.
 */
void marks_vm_list_apply(struct marks *m, const json_t *vms, uint64_t version);

G_END_DECLS

#endif
