/*
 * Service "loadmeter": measures what this process uses of processor, link and memory, and tells
 * "membership" what share of the VM is left for callers (vmload.h). Only routed deployments whose
 * settings name the link's speed or the memory have it.
 */
#ifndef APRICOT_LOADMETER_H
#define APRICOT_LOADMETER_H

#include "kernel.h"
#include "vmload.h"

G_BEGIN_DECLS

/* limits: copied. */
struct service *loadmeter_create(struct kernel *k, const struct vmload_limits *limits);

G_END_DECLS

#endif
