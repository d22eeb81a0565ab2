#include "address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strchr(text, ':');
	g_autofree char *ip = colon ? g_strndup(text, (gsize)(colon - text)) : NULL;
	guint64 port;

	memset(out, 0, sizeof(*out));
	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port, NULL) ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return false;
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return true;
}
