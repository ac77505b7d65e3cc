#include "entry/token_order.hpp"

namespace reedramp::entry {

auto token_order::take(const messages::tokens_event& piece) -> token_check
{
    if (piece.first_index > this->next_index) {
        return token_check::gap;
    }
    if (piece.first_index < this->next_index) {
        const auto is_old = piece.first_index + piece.count <= this->next_index;
        return is_old ? token_check::repeated : token_check::gap;
    }
    this->next_index += piece.count;
    if (!this->whole) {
        return token_check::next;
    }
    if (this->kept.size() + piece.text.size() > this->text_limit) {
        this->whole = false;
        this->kept.clear();
        this->kept.shrink_to_fit();
        return token_check::next;
    }
    this->kept += piece.text;
    return token_check::next;
}

} // namespace reedramp::entry
