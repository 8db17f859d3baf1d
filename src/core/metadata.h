// The metadata of a request: names and values in the order in which the client sent them, in one block of
// memory. A pair of strings takes 64 bytes for a field of two; a head of very many short fields would take
// fifteen times what the client has sent.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/string_memory.h"

namespace flintglade::core {

class Metadata {
 public:
  using Field = std::pair<std::string_view, std::string_view>;  // name and value

  class Iterator {
   public:
    using iterator_category = std::input_iterator_tag;
    using value_type = Field;
    using difference_type = std::ptrdiff_t;
    using pointer = const Field*;
    using reference = Field;

    Iterator(const Metadata& owner, std::size_t index) : owner_(&owner), index_(index) {}
    Field operator*() const { return owner_->field_at(index_, offset_); }
    Iterator& operator++() {
      offset_ += owner_->line_size(index_++);
      return *this;
    }
    friend bool operator==(const Iterator& a, const Iterator& b) { return a.index_ == b.index_; }

   private:
    const Metadata* owner_;
    std::size_t index_, offset_ = 0;
  };

  void add(std::string_view name, std::string_view value) {
    sizes_.push_back({static_cast<std::uint32_t>(name.size()), static_cast<std::uint32_t>(value.size())});
    lines_.append(name).append(kSeparator).append(value).append(kLineEnd);
  }
  void shrink_to_fit() {
    lines_.shrink_to_fit();
    sizes_.shrink_to_fit();
  }
  bool empty() const { return sizes_.empty(); }
  std::size_t size() const { return sizes_.size(); }
  Iterator begin() const { return {*this, 0}; }
  Iterator end() const { return {*this, sizes_.size()}; }
  // All fields as lines of a head in HTTP/1.1.
  const std::string& lines() const { return lines_; }
  std::size_t allocated_bytes() const { return heap_bytes(lines_) + sizes_.capacity() * sizeof(FieldSize); }

 private:
  static constexpr std::string_view kSeparator = ": ", kLineEnd = "\r\n";
  struct FieldSize {
    std::uint32_t name, value;
  };
  std::size_t line_size(std::size_t index) const {
    return sizes_[index].name + kSeparator.size() + sizes_[index].value + kLineEnd.size();
  }
  Field field_at(std::size_t index, std::size_t offset) const {
    const std::string_view line = std::string_view(lines_).substr(offset, line_size(index));
    return {line.substr(0, sizes_[index].name),
            line.substr(sizes_[index].name + kSeparator.size(), sizes_[index].value)};
  }

  std::string lines_;
  std::vector<FieldSize> sizes_;
};

}  // namespace flintglade::core
