/*
 * Service "reload": reads the settings again on SIGHUP and when the settings file changes, and
 * tells the services what they can take while running. A file that cannot be read or is wrong
 * changes nothing.
 */
#ifndef APRICOT_RELOAD_H
#define APRICOT_RELOAD_H

#include "kernel.h"
#include "settings.h"

G_BEGIN_DECLS

/*
 * argv: the command line, borrowed for the life of the service; NULL at its end. settings: those
 * in force, borrowed until the service is created.
 */
struct service *reload_create(struct kernel *k, char **argv, const struct settings *settings);

G_END_DECLS

#endif
