/*
 * Service "front": HTTP server for callers and operators. It owns the listening socket, and the
 * requests until they are answered; docs/api.md describes the interface.
 */
#ifndef APRICOT_FRONT_H
#define APRICOT_FRONT_H

#include "kernel.h"

G_BEGIN_DECLS

/*
 * Binds the address, "IP:PORT". Returns NULL and sets error to RESULT_BAD_SETTING if the address is
 * malformed, or to RESULT_SYSTEM if it cannot be bound. kernel_service_add() takes over the
 * service.
 */
struct service *front_create(struct kernel *k, const char *http_address, GError **error);

G_END_DECLS

#endif
