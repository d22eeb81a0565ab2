/*
 * Service "reload": reads the settings again on SIGHUP and when the settings file changes, and
 * sends the ones that can change while the process runs to the services that use them. A file that
 * cannot be read or is invalid changes nothing.
 */
#ifndef APRICOT_RELOAD_H
#define APRICOT_RELOAD_H

#include "kernel.h"
#include "settings.h"

G_BEGIN_DECLS

/*
 * argv: the command line, ended by NULL; must outlive the service. settings: those in force; used
 * only during this call.
 */
struct service *reload_create(struct kernel *k, char **argv, const struct settings *settings);

G_END_DECLS

#endif
