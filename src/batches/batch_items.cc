#include "batches/batch_items.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace mulberryroad::batches {

BatchItems::BatchItems(base::StructuredLog& log,
                       platform::PartitionStore& store,
                       platform::PartitionId partition, ItemMemory& memory)
    : log_(log),
      store_(store),
      partition_(std::move(partition)),
      memory_(memory) {}

BatchItems::~BatchItems() {
  for (const auto& [batch, entry] : entries_) {
    memory_.Give(entry.held);
  }
}

void BatchItems::Add(const ChunkKey& key, const std::string& value) {
  Entry& entry = entries_[key.batch];
  if (entry.open || entry.needs.contains(key.number)) {
    return;
  }
  v1::BatchChunk chunk;
  if (!chunk.ParseFromString(value)) {
    return;
  }
  const std::size_t need = ItemMemoryNeed(
      value.size(), static_cast<std::size_t>(chunk.items_size()));
  entry.needs[key.number] = need;
  if (entry.dropped) {
    return;
  }
  if (!memory_.Take(need)) {
    log_.Write("batch.no_memory",
               {{"batch", key.batch},
                {"chunk", static_cast<std::int64_t>(key.number)},
                {"need", static_cast<std::int64_t>(need)},
                {"held", static_cast<std::int64_t>(memory_.held())}});
    Drop(&entry);
    return;
  }
  entry.held += need;
  entry.chunks[key.number] = std::move(chunk);
}

void BatchItems::Drop(Entry* entry) {
  entry->dropped = true;
  entry->loading = false;
  entry->chunks.clear();
  memory_.Give(std::exchange(entry->held, 0));
}

bool BatchItems::IsLoaded(const std::string& batch,
                          std::uint32_t chunks) const {
  const auto found = entries_.find(batch);
  if (found == entries_.end()) {
    return chunks == 0;
  }
  const Entry& entry = found->second;
  return entry.open || (!entry.dropped && entry.chunks.size() >= chunks);
}

void BatchItems::Load(const std::string& batch,
                      std::function<void()> on_loaded) {
  const auto found = entries_.find(batch);
  if (found == entries_.end() || !found->second.dropped ||
      found->second.loading) {
    return;
  }
  Entry& entry = found->second;
  std::size_t need = 0;
  for (const auto& [number, bytes] : entry.needs) {
    need += bytes;
  }
  if (!memory_.Take(need)) {
    return;
  }
  entry.held = need;
  entry.loading = true;
  ReadPage(batch, Encode(EndKey{batch}), std::move(on_loaded));
}

void BatchItems::ReadPage(const std::string& batch, const std::string& after,
                          std::function<void()> on_loaded) {
  store_.ReadLatest(
      partition_, after, kReadTimeout,
      [weak = weak_from_this(), batch, on_loaded = std::move(on_loaded)](
          const platform::NewestOutcome& outcome) mutable {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const auto found = self->entries_.find(batch);
        if (found == self->entries_.end() || !found->second.loading) {
          return;
        }
        Entry& entry = found->second;
        const auto* page = std::get_if<platform::LatestPage>(&outcome);
        if (page == nullptr) {
          self->log_.Write(
              "batch.not_loaded",
              {{"batch", batch},
               {"reason",
                std::get<platform::PlatformFailure>(outcome).reason}});
          self->Drop(&entry);
          return;
        }
        if (!AddPage(*page, batch, &entry)) {
          self->ReadPage(batch, page->records.back().key, std::move(on_loaded));
          return;
        }
        if (entry.chunks.size() < entry.needs.size()) {
          self->Drop(&entry);
          return;
        }
        entry.loading = false;
        entry.dropped = false;
        self->log_.Write("batch.loaded",
                         {{"batch", batch},
                          {"need", static_cast<std::int64_t>(entry.held)}});
        on_loaded();
      });
}

bool BatchItems::AddPage(const platform::LatestPage& page,
                         const std::string& batch, Entry* entry) {
  for (const platform::KeyedRecord& record : page.records) {
    const BatchKey key = Decode(record.key);
    const auto* chunk_key = std::get_if<ChunkKey>(&key);
    if (chunk_key == nullptr || chunk_key->batch != batch) {
      return true;
    }
    v1::BatchChunk chunk;
    if (entry->needs.contains(chunk_key->number) &&
        chunk.ParseFromString(record.value.value_or(""))) {
      entry->chunks[chunk_key->number] = std::move(chunk);
    }
  }
  return !page.has_more || page.records.empty();
}

void BatchItems::Open(const std::string& batch) {
  Entry& entry = entries_[batch];
  entry.open = true;
  int count = 0;
  for (const auto& [number, chunk] : entry.chunks) {
    count += chunk.items_size();
  }
  entry.items.reserve(static_cast<std::size_t>(count));
  // Each chunk is freed once its items have moved.
  while (!entry.chunks.empty()) {
    auto chunk = entry.chunks.extract(entry.chunks.begin());
    std::move(chunk.mapped().mutable_items()->begin(),
              chunk.mapped().mutable_items()->end(),
              std::back_inserter(entry.items));
  }
}

const v1::BatchItem* BatchItems::Find(const ItemRef& item) const {
  const auto found = entries_.find(item.batch);
  return found == entries_.end() || item.index >= found->second.items.size()
             ? nullptr
             : &found->second.items[item.index];
}

void BatchItems::Remove(const std::string& batch) {
  const auto found = entries_.find(batch);
  if (found != entries_.end()) {
    memory_.Give(found->second.held);
    entries_.erase(found);
  }
}

}  // namespace mulberryroad::batches
