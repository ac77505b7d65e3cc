#include "routing/barred_parts.hpp"

#include "placement/affinity.hpp"

namespace reedramp::routing {

auto fingerprint_of(const barred_parts& barred) -> request_fingerprint
{
    return request_fingerprint{placement::affinity_weight(
        barred.service, placement::affinity_hash(to_string(barred.parts)))};
}

} // namespace reedramp::routing
