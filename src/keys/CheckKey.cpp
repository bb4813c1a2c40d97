#include "hemlockvane/keys/CheckKey.h"

#include "hemlockvane/keys/KeyCheckRequest.h"
#include "hemlockvane/keys/KeyState.h"
#include "hemlockvane/keys/PendingWithdrawals.h"

namespace hemlockvane {

namespace {

auto findKey(const KeyState& keys, std::string_view hash) -> const std::pair<const std::string, KeyRecord>*
{
    const auto id = keys.m_idByHash.find(hash);
    if (id == keys.m_idByHash.end())
        return nullptr;
    const auto key = keys.m_keys.find(id->second);
    if (key == keys.m_keys.end() || !equalInConstantTime(key->second.m_hash, hash))
        return nullptr;
    return &*key;
}

} // namespace

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    if (left.size() != right.size())
        return false;
    volatile unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference = static_cast<unsigned char>(difference | (left[i] ^ right[i]));
    return difference == 0;
}

auto checkKey(const KeyState& keys, const PendingWithdrawals& pending, const KeyCheckRequest& request,
    FailureReason& reason) -> std::optional<std::string>
{
    if (request.m_keyHash.empty() && request.m_queueOpen)
        return std::string(request.m_team);
    if (request.m_keyHash.empty())
        return fail(reason, ErrorKind::UnknownKey, "no key was shown");
    if (!request.m_vouched)
        return fail(reason, ErrorKind::NotVouched, "this entry cannot tell whether the key was withdrawn");
    const auto* key = findKey(keys, request.m_keyHash);
    if (key == nullptr)
        return fail(reason, ErrorKind::UnknownKey, "the key was never granted");
    if (key->second.m_withdrawn || pending.m_withdrawals.contains(key->first))
        return fail(reason, ErrorKind::WithdrawnKey, "key " + key->first + " was withdrawn");
    if (request.m_team.empty())
        return key->second.m_team;
    if (!request.m_queueOpen && request.m_team != key->second.m_team)
        return fail(reason, ErrorKind::WrongTeam, "key " + key->first + " belongs to another team");
    return std::string(request.m_team);
}

} // namespace hemlockvane
