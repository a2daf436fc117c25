#include "base/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>
#include <memory>

namespace mulberryroad::base {

std::string Sha256Hex(std::string_view text) { return Sha256Hex(text, {}); }

std::string Sha256Hex(std::string_view first, std::string_view second) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  EVP_DigestUpdate(context.get(), first.data(), first.size());
  EVP_DigestUpdate(context.get(), second.data(), second.size());
  EVP_DigestFinal_ex(context.get(), digest.data(), &length);
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
