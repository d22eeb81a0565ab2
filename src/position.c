#include "position.h"

int position_compare(struct position a, struct position b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

bool position_is_after(struct position a, struct position b)
{
	return position_compare(a, b) > 0;
}

struct position position_max(struct position a, struct position b)
{
	return position_is_after(a, b) ? a : b;
}
