/*
 * Bounds what a connection of libevent has read and its owner has not taken yet.
 *
 * Load answered: peers that send bytes without end. evhttp limits heads and bodies, but not the
 * lines between chunks, and takes one interim answer at a time while more arrive than it takes, so
 * that the process would keep them all.
 */
#ifndef APRICOT_INPUTLIMIT_H
#define APRICOT_INPUTLIMIT_H

#include <event2/bufferevent.h>
#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * part_bytes: the largest part of a message that the owner takes as a whole. The connection fails
 * with BEV_EVENT_ERROR when more than that and some room for lines around it waits.
 */
void inputlimit_set(struct bufferevent *bev, size_t part_bytes);

G_END_DECLS

#endif
