#include "entry/sent_token_tracker.hpp"

namespace reedramp::entry {

auto sent_token_tracker::accept(const messages::tokens_event& chunk) -> token_check
{
    if (chunk.first_index > this->next_index) {
        return token_check::gap;
    }
    if (chunk.first_index < this->next_index) {
        const auto is_old = chunk.first_index + chunk.count <= this->next_index;
        return is_old ? token_check::repeated : token_check::gap;
    }
    this->next_index += chunk.count;
    if (!this->whole) {
        return token_check::next;
    }
    if (this->kept.size() + chunk.text.size() > this->text_limit) {
        this->whole = false;
        this->kept.clear();
        this->kept.shrink_to_fit();
        return token_check::next;
    }
    this->kept += chunk.text;
    return token_check::next;
}

} // namespace reedramp::entry
