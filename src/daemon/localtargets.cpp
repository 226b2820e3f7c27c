#include "daemon/localtargets.h"

#include "bundle/jsonreader.h"
#include "shallotrelay/containment/requestfingerprinter.h"
#include "shallotrelay/rollout/rolloutregister.h"

namespace shallotrelay
{
namespace
{

constexpr std::uint64_t MaxCapacity = 100000;

std::string keyOf(const ServiceId &service, const std::string &name)
{
    return service.text() + "/" + name;
}

TargetState parseState(const std::string &text, internal::ObjectReader &reader)
{
    if (text == "cold") {
        return TargetState::Cold;
    }
    if (text == "ready") {
        return TargetState::Ready;
    }
    if (text != "leaving") {
        reader.fail("state", "must be cold, ready or leaving");
    }
    return TargetState::Leaving;
}

bool sameAnnouncement(const Announcement &a, const Announcement &b)
{
    const TargetAnnouncement &x = a.target;
    const TargetAnnouncement &y = b.target;
    return a.address == b.address && x.bootId == y.bootId && x.state == y.state && x.slots == y.slots
           && x.connections == y.connections && a.version == b.version;
}

}

absl::StatusOr<Announcement> parseAnnouncement(std::string_view text)
{
    const auto document = internal::parseJson(text);
    if (!document.ok()) {
        return document.status();
    }
    absl::Status status;
    Announcement out;
    internal::ObjectReader reader(*document, "$", &status);
    out.service.firm = reader.name("firm");
    out.service.service = reader.name("service");
    out.name = reader.name("name");
    const auto address = parseAddress(reader.text("address"));
    if (!address.ok()) {
        reader.fail("address", "must be HOST:PORT");
    } else {
        out.address = *address;
    }
    out.target.bootId = reader.name("boot_id");
    out.target.state = parseState(reader.text("state"), reader);
    out.target.slots = static_cast<std::uint32_t>(reader.number("slots", 1, MaxCapacity));
    out.target.connections = static_cast<std::uint32_t>(reader.number("connections", 1, MaxCapacity));
    reader.rejectUnknownKeys();
    if (!status.ok()) {
        return status;
    }
    return out;
}

LocalTargets::LocalTargets(Options options, ServiceTable &services, EventLog &log, Metrics &metrics,
                           std::shared_ptr<NodeKeyLedger> keys)
    : m_options(std::move(options))
    , m_services(services)
    , m_log(log)
    , m_metrics(metrics)
    , m_keys(std::move(keys))
{
}

bool LocalTargets::announce(const Announcement &announcement)
{
    const std::lock_guard lock(m_mutex);
    Entry &entry = m_entries[keyOf(announcement.service, announcement.name)];
    const bool changed = !entry.guarded || !sameAnnouncement(entry.announcement, announcement);
    entry.renewedAt = m_options.clock->now();
    if (!entry.guarded) {
        GuardedTargetOptions options = m_options.targets;
        options.name = announcement.name;
        options.clock = m_options.clock;
        options.stallTimeout = m_options.stallTimeout;
        options.onDecision
            = [this](const RequestHead &request, const GuardDecision &decision) { logDecision(request, decision); };
        options.onTrial = [this](const RequestHead &request, const RequestPrint &fingerprint, TrialDecision decision) {
            logTrial(request, fingerprint, decision);
        };
        entry.statements = std::make_shared<StatementLog>(m_log, m_metrics, announcement.name);
        options.onStatement = [this, log = entry.statements, name = announcement.name](const TargetStatement &statement,
                                                                                       StatementSource source) {
            log->recordStatement(statement, source, m_options.clock->now());
            if (statement.leaving && m_options.onTargetLeaving) {
                m_options.onTargetLeaving(name);
            }
        };
        const auto counts = std::make_shared<RolloutCounts>();
        options.onRequestSent = [this, log = entry.statements, counts,
                                 next = std::move(options.onRequestSent)](const RequestHead &request) {
            log->recordRequest(request);
            counts->recordSent(request.requestId, m_options.clock->now());
            if (next) {
                next(request);
            }
        };
        options.onCrash = [this, name = announcement.name](const Crash &crash) { reportCrash(name, crash); };
        entry.guarded = std::make_shared<GuardedTarget>(options);
        const ClaimOwner self{m_options.peerAddress, announcement.name, m_options.incarnation};
        entry.keyed = std::make_shared<KeyedTarget>(entry.guarded, m_keys, self, *m_options.clock);
        entry.observed = std::make_shared<ObservedTarget>(entry.keyed, counts, *m_options.clock);
        entry.terms.incarnation = m_options.incarnation + m_spans++;
    }
    recordVersion(entry, announcement.version);
    entry.announcement = announcement;
    if (m_leaving) {
        entry.announcement.target.state = TargetState::Leaving;
    }
    if (changed) {
        ++entry.sequence;
        applyPolicy(entry);
        m_log.write(LogLevel::Info, "target",
                    LogFields()
                        .add("target", keyOf(announcement.service, announcement.name))
                        .add("state", toString(entry.announcement.target.state))
                        .add("boot_id", announcement.target.bootId));
    }
    entry.guarded->announced(entry.announcement.target, announcement.address);
    if (changed) {
        publish();
    }
    return changed;
}

void LocalTargets::logDecision(const RequestHead &request, const GuardDecision &decision)
{
    const bool refused = decision.answer.kind != GuardOfferResult::Kind::Admitted;
    const char *reason = toString(decision.answer.refusal);
    if (refused) {
        m_metrics.counter("shallotrelay_guard_refusals_total", "Refusals by reason", {{"reason", reason}}).Increment();
    }
    if (!m_log.enabled(LogLevel::Info) || decision.answer.refusal == GuardRefusal::NotGranted) {
        return;
    }
    LogFields line;
    line.add("request", request.requestId).add("target", request.target).add("route", request.route);
    line.add("decision", refused ? "refused" : "admitted").add("reason", reason);
    line.add("waited_ms", toMilliseconds(decision.waited)).add("in_flight", std::uint64_t(decision.load.inFlight));
    line.add("limit", std::uint64_t(decision.load.limit)).add("queued", std::uint64_t(decision.load.queued));
    line.add("pace", std::uint64_t(decision.load.pacePercent));
    m_log.write(LogLevel::Info, "guard", line);
}

void LocalTargets::logTrial(const RequestHead &request, const RequestPrint &fingerprint, TrialDecision decision)
{
    LogFields line;
    line.add("request", request.requestId).add("target", request.target).add("print", toString(fingerprint));
    line.add("answer", toString(decision));
    m_log.write(LogLevel::Info, "trial", line);
}

void LocalTargets::reportCrash(const std::string &target, const Crash &crash)
{
    m_metrics.counter("shallotrelay_target_crashes_total", "Crashes of targets that were running requests").Increment();
    LogFields line;
    line.add("target", target).add("evidence", toString(crash.evidence));
    line.add("evidence_age_ms", toMilliseconds(crash.age));
    std::string runs;
    for (const TrackedRun &it : crash.runs) {
        runs += (runs.empty() ? "" : " ") + toString(it.print) + "/" + it.requestId;
    }
    line.add("runs", runs);
    m_log.write(LogLevel::Warn, "target-crash", line);
    if (m_options.targets.onCrash) {
        m_options.targets.onCrash(crash);
    }
}

void LocalTargets::remove(const ServiceId &service, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(keyOf(service, name));
    if (it == m_entries.end()) {
        return;
    }
    it->second.guarded->announcementEnded();
    m_log.write(LogLevel::Info, "target", LogFields().add("target", it->first).add("state", "replaced"));
    m_entries.erase(it);
    publish();
}

bool LocalTargets::expire()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_options.clock->now();
    const std::size_t before = m_entries.size();
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (now - it->second.renewedAt < m_options.lease) {
            ++it;
            continue;
        }
        it->second.guarded->announcementEnded();
        m_log.write(LogLevel::Warn, "target", LogFields().add("target", it->first).add("state", "lease-ended"));
        it = m_entries.erase(it);
    }
    if (m_entries.size() == before) {
        return false;
    }
    publish();
    return true;
}

void LocalTargets::announceAllLeaving()
{
    const std::lock_guard lock(m_mutex);
    m_leaving = true;
    for (auto &it : m_entries) {
        Entry &entry = it.second;
        entry.announcement.target.state = TargetState::Leaving;
        ++entry.sequence;
        entry.guarded->announced(entry.announcement.target, entry.announcement.address);
    }
    publish();
}

void LocalTargets::applyPolicies()
{
    const std::lock_guard lock(m_mutex);
    for (auto &it : m_entries) {
        applyPolicy(it.second);
    }
}

void LocalTargets::tick()
{
    const std::lock_guard lock(m_mutex);
    for (auto &it : m_entries) {
        it.second.guarded->tick();
        it.second.statements->tick(it.second.guarded->statedLimit(), m_options.clock->now());
    }
}

std::shared_ptr<GuardedTarget> LocalTargets::find(const ServiceId &service, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(keyOf(service, name));
    return it == m_entries.end() ? nullptr : it->second.guarded;
}

std::shared_ptr<Backend> LocalTargets::findBackend(const ServiceId &service, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(keyOf(service, name));
    if (it == m_entries.end()) {
        return nullptr;
    }
    const Entry &entry = it->second;
    return entry.terms.rollout != 0 ? std::shared_ptr<Backend>(entry.observed) : entry.keyed;
}

/// Counts the starts of another version from zero, since what was allowed to one version is not allowed to another.
void LocalTargets::recordVersion(Entry &entry, const std::string &version)
{
    if (version.empty() || version == entry.version) {
        return;
    }
    if (!entry.version.empty()) {
        entry.terms.incarnation = m_options.incarnation + m_spans++;
    }
    entry.version = version;
}

void LocalTargets::applyPolicy(Entry &entry)
{
    updateStanding(entry);
    entry.observed->counts().setTerms(entry.terms);
    entry.guarded->setPolicy(policyOf(entry));
}

/// Derives from the last roll-out of the service whether the target may serve.
void LocalTargets::updateStanding(Entry &entry)
{
    const Announcement &announcement = entry.announcement;
    const auto bundle = m_services.bundleOf(announcement.service.firm);
    const ServicePolicy *policy = bundle ? bundle->bundle.findService(announcement.service.service) : nullptr;
    const RolloutRecord *rollout = policy == nullptr ? nullptr : policy->lastRollout();
    const VersionStanding before = entry.standing;
    entry.standing = versionStanding(rollout, announcement.version);
    entry.terms.rollout = rollout != nullptr && isInProgress(rollout->state) ? rollout->id : 0;
    entry.terms.byGrant = entry.standing == VersionStanding::ByGrant;
    if (entry.standing != before) {
        m_log.write(LogLevel::Info, "rollout-gate",
                    LogFields()
                        .add("target", keyOf(announcement.service, announcement.name))
                        .add("version", announcement.version)
                        .add("rollout", rollout == nullptr ? 0 : rollout->id)
                        .add("standing", toString(entry.standing)));
    }
}

std::vector<RolloutTarget> LocalTargets::rolloutTargets() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<RolloutTarget> out;
    for (const auto &it : m_entries) {
        const Entry &entry = it.second;
        const Announcement &announcement = entry.announcement;
        if (entry.terms.rollout != 0) {
            out.push_back({announcement.service.service, announcement.name, announcement.version,
                           announcement.target.slots, entry.terms, entry.guarded, entry.observed->sharedCounts()});
        }
    }
    return out;
}

std::vector<TargetRecord> LocalTargets::records() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<TargetRecord> out;
    for (const auto &it : m_entries) {
        out.push_back(toRecord(it.second));
    }
    return out;
}

void LocalTargets::setPeerAddress(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_options.peerAddress = address;
}

TargetRecord LocalTargets::toRecord(const Entry &entry) const
{
    const Announcement &announcement = entry.announcement;
    TargetRecord record;
    record.firm = announcement.service.firm;
    record.service = announcement.service.service;
    record.name = announcement.name;
    record.dataCentre = m_options.dataCentre;
    record.peerAddress = m_options.peerAddress;
    record.incarnation = m_options.incarnation;
    record.sequence = entry.sequence;
    record.slots = announcement.target.slots;
    record.connections = announcement.target.connections;
    record.bootId = announcement.target.bootId;
    record.version = announcement.version;
    record.state = announcement.target.state;
    return record;
}

GuardPolicy LocalTargets::policyOf(const Entry &entry) const
{
    GuardPolicy policy;
    const ServiceId &service = entry.announcement.service;
    const auto bundle = m_services.bundleOf(service.firm);
    if (!bundle) {
        return policy;
    }
    policy.revision = bundle->revision;
    const ServicePolicy *found = bundle->bundle.findService(service.service);
    if (found == nullptr) {
        return policy;
    }
    const TargetLimits &limits = found->limitsOf(entry.announcement.name);
    const bool mayServe = entry.standing == VersionStanding::Serves || entry.standing == VersionStanding::ByGrant;
    policy.served = mayServe && found->servedIn(m_options.dataCentre) && bundle->bundle.inService(m_options.dataCentre);
    policy.starts = entry.terms;
    policy.slots = limits.slots;
    policy.connections = limits.connections;
    policy.coldSlots = found->coldSlots;
    policy.coldRamp = found->coldRamp;
    policy.queueLength = found->queueLength;
    policy.queueWait = found->queueWait;
    policy.coldPerSecond = found->coldPerSecond;
    policy.coldTime = found->coldTime;
    policy.refusesLate = found->refusesLate;
    policy.expectsStatements = found->expectsStatements;
    return policy;
}

/// Updates the node's own router directly, without waiting for the directory from control. The caller holds the lock.
void LocalTargets::publish()
{
    std::vector<TargetRecord> out;
    for (const auto &it : m_entries) {
        out.push_back(toRecord(it.second));
    }
    m_services.applyLocalTargets(out);
}

}
