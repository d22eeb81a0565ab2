#include "address.h"

#include <event2/util.h>
#include <string.h>

bool address_parse(const char *text, struct sockaddr_in *out)
{
	int n = sizeof(*out);

	memset(out, 0, sizeof(*out));
	return evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &n) == 0 &&
	       out->sin_family == AF_INET && out->sin_port != 0;
}
