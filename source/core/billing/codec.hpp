#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/peer.hpp"

namespace reedramp::billing {

/// One record of the stream `bills`. Its id tells a collector its own records when it reads back.
struct batch {
    common::request_id id;
    std::vector<messages::bill> bills;
};

/// The record as JSON text.
auto serialise(const batch& content) -> std::string;

/// Errors: `invalid_record`. Readers skip such a record alike.
auto parse(std::string_view record) -> common::result<batch>;

/// Bytes that a bill is counted with against the collector's bound: at least what it holds in
/// memory and what its text takes.
auto size_of(const messages::bill& item) -> std::size_t;

} // namespace reedramp::billing
