// Defines Catch2's main; compiled once and linked into all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
