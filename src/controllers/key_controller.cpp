#include "controllers/key_controller.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>
#include <cstring>

namespace Tanagertally {

KeyController::KeyController(Blackboard &board, std::array<std::uint64_t, 4> secretSeed)
    : board(board)
    , secret(secretSeed)
{
}

KeyTag KeyController::sign(const IssuedKey &key, const TeamName &team) const
{
    const std::string text = fmt::format("{}~{}", key.sequence.value, team.value);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), this->secret.data(), sizeof(this->secret), reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest.data(), &length);
    std::uint64_t tag = 0;
    std::memcpy(&tag, digest.data(), sizeof(tag));
    return KeyTag(tag);
}

std::vector<JobKey> KeyController::issue(const TeamName &team, std::uint32_t count)
{
    assert(count >= 1 && count <= MaxKeysPerCall);
    this->batches[KeySequence(this->lastSequence + 1)] = Batch{this->board.now, std::vector<bool>(count), std::vector<bool>(count)};
    std::vector<JobKey> keys;
    keys.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        IssuedKey key;
        key.domain = this->board.identity.domain;
        key.address = this->board.identity.peerAddress;
        key.incarnation = this->board.identity.incarnation;
        key.sequence = KeySequence(++this->lastSequence);
        key.tag = this->sign(key, team);
        keys.push_back(formatIssuedKey(key));
    }
    return keys;
}

std::pair<KeyController::Batch *, std::size_t> KeyController::locate(KeySequence sequence)
{
    auto after = this->batches.upper_bound(sequence);
    if (after == this->batches.begin()) {
        return {nullptr, 0};
    }
    --after;
    const std::size_t index = sequence.value - after->first.value;
    return {index < after->second.used.size() ? &after->second : nullptr, index};
}

KeyState KeyController::state(const IssuedKey &key, const TeamName &team)
{
    assert(key.incarnation == this->board.identity.incarnation);
    const KeyTag expected = this->sign(key, team);
    if (CRYPTO_memcmp(&expected.value, &key.tag.value, sizeof(expected.value)) != 0) {
        return KeyState::Forged;
    }
    const auto [batch, index] = this->locate(key.sequence);
    if (batch == nullptr) {
        return KeyState::Unknown;
    }
    if (batch->used[index]) {
        return KeyState::Used;
    }
    if (this->board.now - batch->issuedAt > KeyLifetime) {
        batch->closed[index] = true;
    }
    return batch->closed[index] ? KeyState::Closed : KeyState::Unused;
}

void KeyController::markUsed(const IssuedKey &key)
{
    const auto [batch, index] = this->locate(key.sequence);
    assert(batch != nullptr && !batch->used[index] && !batch->closed[index]);
    batch->used[index] = true;
}

void KeyController::close(const IssuedKey &key)
{
    const auto [batch, index] = this->locate(key.sequence);
    assert(batch != nullptr && !batch->used[index]);
    batch->closed[index] = true;
}

void KeyController::advance()
{
    while (!this->batches.empty() && this->board.now - this->batches.begin()->second.issuedAt > KeyRetention) {
        this->batches.erase(this->batches.begin());
    }
}

} // namespace Tanagertally
