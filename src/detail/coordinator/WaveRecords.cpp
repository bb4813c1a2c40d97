#include "hemlockvane/detail/coordinator/WaveRecords.h"

#include "hemlockvane/scheduling.pb.h"

namespace hemlockvane::detail {

auto encodeWave(const fleet::WaveState& wave) -> std::string
{
    wire::WaveRecord record;
    record.set_number(wave.m_order.m_number);
    record.set_completed(wave.m_isCompleted);
    for (const auto& machine : wave.m_startedMachines)
        record.add_begun(machine);
    return record.SerializeAsString();
}

auto decodeWave(std::string_view bytes) -> std::optional<fleet::WaveState>
{
    wire::WaveRecord record;
    if (!record.ParseFromString(std::string(bytes)))
        return std::nullopt;
    fleet::WaveState wave;
    wave.m_order.m_number = record.number();
    wave.m_isCompleted = record.completed();
    wave.m_startedMachines.insert(record.begun().begin(), record.begun().end());
    return wave;
}

} // namespace hemlockvane::detail
