/* Positions of the store in scripts: "REVISION" in era 0, or "ERA:REVISION". */
#ifndef APRICOT_TESTS_POSITION_TEXT_H
#define APRICOT_TESTS_POSITION_TEXT_H

#include "position.h"

#include <string>

inline struct position position_of(const std::string &text)
{
	size_t colon = text.find(':');

	if (colon == std::string::npos)
		return {0, std::stoull(text)};
	return {std::stoull(text.substr(0, colon)), std::stoull(text.substr(colon + 1))};
}

inline std::string position_text(struct position p)
{
	std::string revision = std::to_string(p.revision);

	return p.era ? std::to_string(p.era) + ":" + revision : revision;
}

#endif
