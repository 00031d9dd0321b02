// Values that another program may write in place of a sound entry: drawn from sound ones, so that they are odd in one respect and reach what reads them.
#pragma once
#include <random>
#include <string>

namespace standins {

// Changes one or two things of a JSON text: drops, retypes, nests or enlarges a field, moves a number to an end of its range, puts separators into a text, adds a
// field, or cuts and flips bytes of the whole. Depends on the generator only.
std::string makeOddValue(std::mt19937& random, const std::string& sound);

}
