// Cryptographic and placement hashes.

#ifndef MULBERRYROAD_SRC_BASE_DIGEST_H_
#define MULBERRYROAD_SRC_BASE_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryroad::base {

/// Returns the SHA-256 digest of `text` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);
/// Returns the digest of two texts put together, which are not copied.
std::string Sha256Hex(std::string_view first, std::string_view second);

/// Returns a 64-bit XXH3 hash, which is the same on every node. Not
/// cryptographically secure.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace mulberryroad::base

#endif  // MULBERRYROAD_SRC_BASE_DIGEST_H_
