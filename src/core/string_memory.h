// The heap memory of strings, for what is counted against a budget.
#pragma once

#include <cstddef>
#include <string>

namespace flintglade::core {

// What the string has allocated: a short string is part of its object.
inline std::size_t heap_bytes(const std::string& text) {
  static const std::size_t kShortCapacity = std::string().capacity();
  return text.capacity() > kShortCapacity ? text.capacity() : 0;
}

// Empties the string and frees its memory, which clear() and the assignment of a short string keep.
inline void free_memory(std::string& text) { std::string().swap(text); }

}  // namespace flintglade::core
