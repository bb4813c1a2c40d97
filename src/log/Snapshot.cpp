#include "hemlockvane/log/Snapshot.h"

#include "hemlockvane/log/Fold.h"

#include "hemlockvane/snapshot.pb.h"

namespace hemlockvane {

namespace {

constexpr std::uint64_t fnvPrime = 1099511628211ULL;

auto saveConfiguration(const ConfigurationState& state, wire::SnapshotConfiguration& out) -> void
{
    out.set_version(state.m_version);
    for (const auto& [setting, item] : state.m_defaults) {
        auto& saved = *out.add_defaults();
        saved.set_setting(setting);
        saved.set_value(item.m_value);
        saved.set_version(item.m_version);
        saved.set_author(item.m_author);
    }
    for (const auto& [name, item] : state.m_exceptions) {
        auto& saved = *out.add_exceptions();
        saved.set_setting(name.first);
        saved.set_scope(name.second);
        saved.set_value(item.m_value);
        saved.set_reason(item.m_reason);
        saved.set_author(item.m_author);
        saved.set_expires_at_ms(item.m_expiresAt);
        saved.set_version(item.m_version);
        saved.set_removed(item.m_removed);
    }
    for (const auto& change : state.m_history) {
        auto& saved = *out.add_history();
        saved.set_version(change.m_version);
        saved.set_summary(change.m_summary);
        saved.set_author(change.m_author);
        saved.set_stamped_at_ms(change.m_stampedAt);
    }
}

auto loadConfiguration(const wire::SnapshotConfiguration& saved, ConfigurationState& state) -> void
{
    state.m_version = saved.version();
    for (const auto& item : saved.defaults())
        state.m_defaults[item.setting()]
            = ConfigurationItem { item.value(), "", item.author(), 0, item.version(), item.value().empty() };
    for (const auto& item : saved.exceptions())
        state.m_exceptions[{ item.setting(), item.scope() }] = ConfigurationItem { item.value(), item.reason(),
            item.author(), item.expires_at_ms(), item.version(), item.removed() };
    for (const auto& change : saved.history())
        state.m_history.push_back({ change.version(), change.summary(), change.author(), change.stamped_at_ms() });
}

auto saveKeys(const KeyState& state, wire::SnapshotKeys& out) -> void
{
    out.set_version(state.m_version);
    for (const auto& [id, key] : state.m_keys) {
        auto& saved = *out.add_keys();
        saved.set_key_id(id);
        saved.set_key_hash(key.m_hash);
        saved.set_team(key.m_team);
        saved.set_withdrawn(key.m_withdrawn);
        saved.set_author(key.m_author);
        saved.set_reason(key.m_reason);
    }
}

auto loadKeys(const wire::SnapshotKeys& saved, KeyState& state) -> void
{
    state.m_version = saved.version();
    for (const auto& key : saved.keys()) {
        state.m_keys[key.key_id()]
            = KeyRecord { key.key_hash(), key.team(), key.author(), key.reason(), key.withdrawn() };
        state.m_idByHash[key.key_hash()] = key.key_id();
    }
}

auto saveMembership(const MembershipState& state, wire::SnapshotMembership& out) -> void
{
    out.set_version(state.m_version);
    for (const auto& [id, entry] : state.m_entries) {
        auto& saved = *out.add_entries();
        saved.set_instance(id);
        saved.set_zone(entry.m_zone);
        saved.set_address(entry.m_address);
        saved.set_traffic_address(entry.m_trafficAddress);
        saved.set_joined_at(entry.m_joinedAt);
        saved.set_removed_at(entry.m_removedAt);
        saved.set_planned(entry.m_planned);
        saved.set_removed_at_ms(entry.m_removedAtMs);
    }
    for (const auto& [name, duty] : state.m_duties) {
        auto& saved = *out.add_duties();
        saved.set_duty(name);
        saved.set_holder(duty.m_holder);
        saved.set_epoch(duty.m_epoch);
    }
}

auto loadMembership(const wire::SnapshotMembership& saved, MembershipState& state) -> void
{
    state.m_version = saved.version();
    for (const auto& entry : saved.entries()) {
        state.m_entries[entry.instance()] = EntryRecord { entry.zone(), entry.address(), entry.traffic_address(),
            entry.joined_at(), entry.removed_at(), entry.removed_at_ms(), entry.planned() };
        if (entry.removed_at() != 0)
            state.m_removed.emplace(entry.removed_at_ms(), entry.instance());
    }
    for (const auto& duty : saved.duties())
        state.m_duties[duty.duty()] = DutyRecord { duty.holder(), duty.epoch() };
}

auto saveJob(const std::string& id, const JobRecord& job, wire::SnapshotJob& saved) -> void
{
    auto& submitted = *saved.mutable_submitted();
    submitted.set_team(job.m_team);
    submitted.set_queue(job.m_queue);
    submitted.set_command(job.m_command);
    submitted.mutable_size()->set_cores(job.m_cores);
    submitted.mutable_size()->set_memory_mb(job.m_memoryMb);
    submitted.mutable_size()->set_accelerators(job.m_accelerators);
    submitted.mutable_size()->set_run_seconds(job.m_runSeconds);
    submitted.set_urgent(job.m_urgent);
    submitted.set_repeatable(job.m_repeatable);
    submitted.set_max_attempts(job.m_maximumAttempts);
    submitted.set_deadline_at_ms(job.m_deadlineAt);
    saved.set_job(id);
    saved.set_submitted_at(job.m_submittedAt);
    saved.set_submitted_at_ms(job.m_submittedAtMs);
    saved.set_status(static_cast<std::uint32_t>(job.m_status));
    saved.set_cancel_requested(job.m_cancelRequested);
    saved.set_attempt(job.m_attempt);
    saved.set_worker(job.m_worker);
    saved.set_lease_epoch(job.m_leaseEpoch);
    saved.set_reason(job.m_reason);
    saved.set_changed_at_ms(job.m_changedAt);
    for (const auto& worker : job.m_failedOn)
        saved.add_failed_on(worker);
}

auto loadJob(const wire::SnapshotJob& saved) -> JobRecord
{
    JobRecord job;
    const auto& submitted = saved.submitted();
    job.m_team = submitted.team();
    job.m_queue = submitted.queue();
    job.m_command = submitted.command();
    job.m_cores = submitted.size().cores();
    job.m_memoryMb = submitted.size().memory_mb();
    job.m_accelerators = submitted.size().accelerators();
    job.m_runSeconds = submitted.size().run_seconds();
    job.m_urgent = submitted.urgent();
    job.m_repeatable = submitted.repeatable();
    job.m_maximumAttempts = submitted.max_attempts();
    job.m_deadlineAt = submitted.deadline_at_ms();
    job.m_submittedAt = saved.submitted_at();
    job.m_submittedAtMs = saved.submitted_at_ms();
    job.m_status = static_cast<JobStatus>(saved.status());
    job.m_cancelRequested = saved.cancel_requested();
    job.m_attempt = saved.attempt();
    job.m_worker = saved.worker();
    job.m_leaseEpoch = saved.lease_epoch();
    job.m_reason = saved.reason();
    job.m_changedAt = saved.changed_at_ms();
    job.m_failedOn.assign(saved.failed_on().begin(), saved.failed_on().end());
    return job;
}

auto loadJobs(const wire::SnapshotJobs& saved, JobState& state) -> void
{
    for (const auto& item : saved.jobs()) {
        const auto& job = state.m_jobs[item.job()] = loadJob(item);
        if (job.m_status == JobStatus::Queued)
            state.m_queued.insert(item.job());
        else if (job.m_status == JobStatus::Running)
            indexRunning(state, item.job(), job.m_worker);
        else
            state.m_ended.emplace(job.m_changedAt, item.job());
    }
}

auto savePools(const PoolState& state, wire::SnapshotPools& out) -> void
{
    for (const auto& [id, instance] : state.m_instances) {
        auto& saved = *out.add_instances();
        saved.set_instance(id);
        saved.set_pool(instance.m_pool);
        saved.set_zone(instance.m_zone);
        saved.set_rack(instance.m_rack);
        saved.set_available(instance.m_available);
        saved.set_draining_for(instance.m_drainingFor);
        saved.mutable_capacity()->set_cores(instance.m_cores);
        saved.mutable_capacity()->set_memory_mb(instance.m_memoryMb);
        saved.mutable_capacity()->set_accelerators(instance.m_accelerators);
        saved.set_draining_since_ms(instance.m_drainingSince);
        saved.set_moves(instance.m_moves);
    }
}

auto loadPools(const wire::SnapshotPools& saved, PoolState& state) -> void
{
    for (const auto& item : saved.instances()) {
        InstanceRecord instance { item.pool(), item.zone(), item.rack(), item.capacity().cores(),
            item.capacity().memory_mb(), item.capacity().accelerators(), item.available(), item.draining_for(),
            item.draining_since_ms(), item.moves() };
        countInstance(state, instance);
        state.m_instances[item.instance()] = std::move(instance);
    }
}

auto saveMaintenance(const MaintenanceState& state, wire::SnapshotMaintenance& out) -> void
{
    for (const auto& [id, wave] : state.m_waves) {
        auto& saved = *out.add_waves();
        saved.set_wave(id);
        saved.set_started_at(wave.m_startedAt);
        saved.set_accepted_harm(wave.m_acceptedHarm);
        saved.set_finish_by_ms(wave.m_finishBy);
        saved.set_paused(wave.m_paused);
        saved.set_reason(wave.m_reason);
        saved.set_author(wave.m_author);
        for (const auto& pool : wave.m_pools)
            saved.add_pools(pool);
        for (const auto& instance : wave.m_done)
            saved.add_done(instance);
        for (const auto& instance : wave.m_failed)
            saved.add_failed(instance);
    }
}

auto loadMaintenance(const wire::SnapshotMaintenance& saved, MaintenanceState& state) -> void
{
    for (const auto& item : saved.waves()) {
        auto& wave = state.m_waves[item.wave()];
        wave.m_pools.assign(item.pools().begin(), item.pools().end());
        wave.m_startedAt = item.started_at();
        wave.m_acceptedHarm = item.accepted_harm();
        wave.m_finishBy = item.finish_by_ms();
        wave.m_paused = item.paused();
        wave.m_reason = item.reason();
        wave.m_author = item.author();
        wave.m_done.insert(item.done().begin(), item.done().end());
        wave.m_failed.insert(item.failed().begin(), item.failed().end());
    }
}

auto saveOperations(const OperationWindow& window, wire::Snapshot& out) -> void
{
    for (const auto& id : window.m_order) {
        const auto& result = window.m_results.at(id);
        auto& saved = *out.add_operations();
        saved.set_id(id);
        saved.set_offset(result.m_offset);
        saved.set_error(static_cast<std::uint32_t>(result.m_error));
        saved.set_reason(result.m_reason);
    }
}

auto loadOperations(const wire::Snapshot& saved, OperationWindow& window) -> void
{
    for (const auto& item : saved.operations())
        addResult(window, { item.id(), item.offset(), static_cast<ErrorKind>(item.error()), item.reason() });
}

auto saveProgress(const SnapshotProgress& progress, wire::SnapshotProgress& saved) -> void
{
    saved.set_snapshot(progress.m_snapshotName);
    saved.set_next_index(progress.m_nextIndex);
    saved.set_count(progress.m_count);
    saved.set_through(progress.m_endOffset);
    saved.set_started_at(progress.m_startOffset);
    saved.set_complete_from(progress.m_completeStartOffset);
    saved.set_complete_through(progress.m_completeEndOffset);
    saved.set_complete_at_ms(progress.m_completeAtMs);
}

auto loadProgress(const wire::SnapshotProgress& saved) -> SnapshotProgress
{
    return { saved.snapshot(), saved.next_index(), saved.count(), saved.through(), saved.started_at(),
        saved.complete_from(), saved.complete_through(), saved.complete_at_ms() };
}

} // namespace

auto saveSnapshot(const FleetState& state) -> std::string
{
    wire::Snapshot out;
    out.set_format(recordFormat);
    out.set_next_offset(state.m_nextOffset);
    out.set_chain_hash(state.m_chainHash);
    out.set_clock_ms(state.m_clock);
    saveConfiguration(state.m_configuration, *out.mutable_configuration());
    saveKeys(state.m_keys, *out.mutable_keys());
    saveMembership(state.m_membership, *out.mutable_membership());
    for (const auto& [id, job] : state.m_jobs.m_jobs)
        saveJob(id, job, *out.mutable_jobs()->add_jobs());
    savePools(state.m_pools, *out.mutable_pools());
    saveMaintenance(state.m_maintenance, *out.mutable_maintenance());
    saveOperations(state.m_operations, out);
    saveProgress(state.m_snapshots, *out.mutable_progress());
    return out.SerializeAsString();
}

auto loadSnapshot(std::string_view bytes, FailureReason& reason) -> std::optional<FleetState>
{
    wire::Snapshot saved;
    if (!saved.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return fail(reason, ErrorKind::BadRequest, "the bytes cannot be decoded as a snapshot");
    if (saved.format() > recordFormat)
        return fail(reason, ErrorKind::Internal, "the snapshot has a newer format than this program supports");
    FleetState state;
    state.m_nextOffset = saved.next_offset();
    state.m_chainHash = saved.chain_hash();
    state.m_clock = saved.clock_ms();
    loadConfiguration(saved.configuration(), state.m_configuration);
    loadKeys(saved.keys(), state.m_keys);
    loadMembership(saved.membership(), state.m_membership);
    loadJobs(saved.jobs(), state.m_jobs);
    loadPools(saved.pools(), state.m_pools);
    loadMaintenance(saved.maintenance(), state.m_maintenance);
    loadOperations(saved, state.m_operations);
    state.m_snapshots = loadProgress(saved.progress());
    return state;
}

auto hashBytes(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    auto hash = seed;
    for (const auto byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= fnvPrime;
    }
    return hash;
}

} // namespace hemlockvane
