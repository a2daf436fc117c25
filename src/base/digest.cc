#include "base/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace mulberryroad::base {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * static_cast<std::size_t>(length));
  for (unsigned i = 0; i < length; ++i) {
    hex.push_back(kDigits[digest[i] >> 4U]);
    hex.push_back(kDigits[digest[i] & 15U]);
  }
  return hex;
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace mulberryroad::base
