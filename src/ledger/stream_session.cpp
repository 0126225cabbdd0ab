#include "ledger/stream_session.h"

#include "core/errors.h"
#include "ledger/codec.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rattanmount::ledger {

namespace {

bool is_snapshot(const record& item) {
    return std::holds_alternative<snapshot_taken>(item);
}

} // namespace

stream_session::stream_session(session_options options)
    : options(std::move(options)), sequence(this->options.first_sequence) {
    assert(this->options.apply);
    assert(this->options.reset);
    assert(this->options.max_records_per_batch >= 1);
}

void stream_session::set_epoch(core::epoch_id epoch) {
    this->epoch = epoch;
}

void stream_session::add(record item, add_options options, std::function<void(record_outcome)> on_result) {
    const bool snapshot = is_snapshot(item);
    assert(!snapshot || this->options.state);
    options.own_batch = options.own_batch || snapshot;
    const std::size_t bytes = snapshot ? 0 : encoded_size(item);
    this->queue.push_back({.item = std::move(item),
                           .bytes = bytes,
                           .epoch = this->epoch,
                           .options = options,
                           .on_result = std::move(on_result)});
}

std::optional<append_request> stream_session::next_append(core::steady_time now) {
    if (!this->append_ready() || now < this->next_append_at) {
        return std::nullopt;
    }
    if (!this->in_flight) {
        this->make_batch();
    }
    this->in_flight->append_pending = true;
    this->next_append_at = now + this->options.append_spacing;
    return append_request{.stream = this->options.stream,
                          .sequence = this->in_flight->sequence,
                          .bytes = this->in_flight->bytes};
}

void stream_session::on_append(core::sequence_number sequence, const external::append_reply& reply,
                               core::steady_time now) {
    this->available = reply.outcome == external::append_outcome::stored;
    if (!this->in_flight || this->in_flight->sequence != sequence || !this->in_flight->append_pending) {
        return;
    }
    this->in_flight->append_pending = false;
    completion_list completions;
    switch (reply.outcome) {
    case external::append_outcome::stored:
        this->on_stored(reply.offset, completions);
        break;
    case external::append_outcome::not_stored:
        this->next_append_at = std::max(this->next_append_at, now + this->options.retry_delay);
        if (!this->in_flight->may_be_stored) {
            this->requeue_in_flight(completions);
        }
        break;
    case external::append_outcome::unknown:
        this->next_append_at = std::max(this->next_append_at, now + this->options.retry_delay);
        this->in_flight->may_be_stored = true;
        this->read_requested = true;
        break;
    }
    invoke(completions);
}

std::optional<read_request> stream_session::next_read(core::steady_time now) {
    if (this->read_pending || now < this->read_due()) {
        return std::nullopt;
    }
    this->read_pending = true;
    this->pending_read_from = this->next_offset;
    return read_request{.stream = this->options.stream, .from = this->pending_read_from};
}

void stream_session::on_read(core::log_offset from, const external::read_reply& reply,
                             core::steady_time now) {
    if (!this->read_pending || from != this->pending_read_from) {
        return;
    }
    this->read_pending = false;
    this->available = reply.available;
    if (!reply.available) {
        this->retry_read_at = now + this->options.retry_delay;
        return;
    }
    completion_list completions;
    const core::log_offset before = this->next_offset;
    this->apply_entries(reply, completions);
    this->has_read = true;
    this->known_end = std::max(this->known_end, reply.next);
    this->read_requested = this->next_offset < this->known_end;
    this->next_read_at = now + this->options.read_interval;
    if (this->read_requested && this->next_offset == before) {
        this->retry_read_at = now + this->options.retry_delay;
    }
    invoke(completions);
}

bool stream_session::caught_up() const {
    const bool unknown = this->in_flight && (this->in_flight->may_be_stored || this->in_flight->stored_at);
    return this->has_read && this->next_offset >= this->known_end && !unknown;
}

std::size_t stream_session::pending() const {
    return this->queue.size() + (this->in_flight ? this->in_flight->records.size() : 0);
}

void stream_session::cancel_queued() {
    completion_list completions;
    std::deque<pending_record> kept;
    for (pending_record& waiting : this->queue) {
        if (waiting.options.cancellable) {
            completions.emplace_back(std::move(waiting.on_result), record_outcome::absent);
        } else {
            kept.push_back(std::move(waiting));
        }
    }
    this->queue = std::move(kept);
    invoke(completions);
}

core::steady_time stream_session::next_deadline(core::steady_time now) const {
    core::steady_time deadline = now + this->options.read_interval;
    if (!this->read_pending) {
        deadline = std::min(deadline, this->read_due());
    }
    if (this->append_ready()) {
        deadline = std::min(deadline, this->next_append_at);
    }
    return std::max(deadline, now);
}

void stream_session::skip_to(core::log_offset offset) {
    if (this->base_known && offset <= this->next_offset) {
        return;
    }
    this->next_offset = offset;
    this->known_end = std::max(this->known_end, offset);
    this->base_known = true;
    this->read_requested = true;
    this->check_skipped_append();
}

void stream_session::request_read() {
    this->read_requested = true;
}

/// @return whether there is something to append, regardless of next_append_at.
bool stream_session::append_ready() const {
    if (!this->base_known) {
        return false;
    }
    if (this->in_flight) {
        return !this->in_flight->append_pending && !this->in_flight->stored_at;
    }
    if (this->queue.empty()) {
        return false;
    }
    return !is_snapshot(this->queue.front().item) || this->caught_up();
}

core::steady_time stream_session::read_due() const {
    return this->read_requested ? this->retry_read_at : std::max(this->next_read_at, this->retry_read_at);
}

void stream_session::make_batch() {
    batch_in_flight made;
    made.records = this->take_records();
    record_batch batch{
        .producer = this->options.producer, .sequence = this->sequence, .epoch = made.records.front().epoch};
    batch.records.reserve(made.records.size());
    for (pending_record& waiting : made.records) {
        if (is_snapshot(waiting.item)) {
            waiting.item = snapshot_taken{.state = this->options.state(), .at = this->next_offset};
        }
        batch.records.push_back(waiting.item);
    }
    made.sequence = this->sequence;
    made.bytes = encode(batch);
    this->sequence = this->sequence.next();
    this->in_flight = std::move(made);
}

/// Removes the records of the next batch from the queue: all of one epoch, within the limits of a batch.
std::vector<stream_session::pending_record> stream_session::take_records() {
    std::vector<pending_record> taken;
    std::size_t bytes = 0;
    while (!this->queue.empty() && taken.size() < this->options.max_records_per_batch) {
        pending_record& front = this->queue.front();
        bytes += front.bytes;
        const bool full = bytes > this->options.max_bytes_per_batch;
        if (!taken.empty() && (full || front.options.own_batch || front.epoch != taken.front().epoch)) {
            break;
        }
        const bool alone = front.options.own_batch;
        taken.push_back(std::move(front));
        this->queue.pop_front();
        if (alone) {
            break;
        }
    }
    return taken;
}

/// Called when the log service has reported the offset of the batch in flight.
void stream_session::on_stored(core::log_offset offset, completion_list& completions) {
    this->known_end = std::max(this->known_end, offset.next());
    this->in_flight->stored_at = offset;
    if (offset == this->next_offset) {
        const std::string bytes = this->in_flight->bytes;
        this->apply_entry(offset, bytes, completions);
    }
    if (this->in_flight) {
        this->read_requested = true;
    }
}

void stream_session::apply_entries(const external::read_reply& reply, completion_list& completions) {
    if (reply.first > this->next_offset) {
        this->restart_at(reply.first);
    }
    for (const external::log_entry& entry : reply.entries) {
        if (entry.offset > this->next_offset) {
            break;
        }
        if (entry.offset == this->next_offset) {
            this->apply_entry(entry.offset, entry.bytes, completions);
        }
    }
    this->check_skipped_append();
}

void stream_session::restart_at(core::log_offset first) {
    this->options.reset();
    this->next_offset = first;
    this->base_known = false;
    ++this->reset_count;
}

/// Applies one entry. If it is a copy of the batch in flight, that batch has its outcome.
void stream_session::apply_entry(core::log_offset offset, const std::string& bytes,
                                 completion_list& completions) {
    record_batch batch;
    try {
        batch = decode(bytes);
    } catch (const core::invalid_argument&) {
        ++this->malformed;
    }
    const bool is_applied = this->options.apply(offset, batch);
    this->next_offset = offset.next();
    this->base_known = this->base_known || is_applied;
    if (batch.producer == this->options.producer) {
        this->sequence = std::max(this->sequence, batch.sequence.next());
    }
    if (this->base_known && this->in_flight && this->in_flight->bytes == bytes) {
        this->complete_in_flight(is_applied ? record_outcome::recorded : record_outcome::superseded,
                                 completions);
    }
}

void stream_session::complete_in_flight(record_outcome result, completion_list& completions) {
    for (pending_record& sent : this->in_flight->records) {
        completions.emplace_back(std::move(sent.on_result), result);
    }
    this->in_flight.reset();
}

/// Dissolves a batch that is certainly not stored: cancels its cancellable records and puts the others back
/// at the head of the queue.
void stream_session::requeue_in_flight(completion_list& completions) {
    std::vector<pending_record> records = std::move(this->in_flight->records);
    this->in_flight.reset();
    for (auto sent = records.rbegin(); sent != records.rend(); ++sent) {
        if (!sent->options.cancellable) {
            this->queue.push_front(std::move(*sent));
        }
    }
    for (pending_record& sent : records) {
        if (sent.options.cancellable) {
            completions.emplace_back(std::move(sent.on_result), record_outcome::absent);
        }
    }
}

/// Handles the case that the offset of the batch in flight was skipped because entries expired. The state
/// machine has then reported no result for the batch, so a copy has to be stored again to learn its outcome.
void stream_session::check_skipped_append() {
    if (this->in_flight && this->in_flight->stored_at && *this->in_flight->stored_at < this->next_offset) {
        this->in_flight->stored_at.reset();
        this->in_flight->may_be_stored = true;
    }
}

void stream_session::invoke(completion_list& completions) {
    for (auto& [on_result, result] : completions) {
        if (on_result) {
            on_result(result);
        }
    }
}

} // namespace rattanmount::ledger
