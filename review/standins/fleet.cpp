#include "fleet.h"

#include "cells/store_rows.h"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace Tanagertally::Review {

namespace {

using ProcessTests::CallEnd;
using ProcessTests::HttpAnswer;
using ProcessTests::HttpCall;

constexpr const char *Program = "target/bin/tanagertally-entry"; // `run` of the deploy file.
constexpr const char *Host = "nony24.example";
constexpr std::chrono::milliseconds Deadline{1500}; // deadline_ms of the sites' kinds of request.
constexpr std::chrono::milliseconds Resend{1300}; // resend-ms
constexpr std::chrono::milliseconds TickInterval{5};
constexpr std::chrono::seconds FinishTime{14}; // finish_s
constexpr std::chrono::seconds IdleBound{3}; // "for 3 s" of LOST.
constexpr std::chrono::milliseconds LookInterval{100};
constexpr std::size_t ExtraLooks = 5;

std::string loopback()
{
    return "127.0.0.1:" + std::to_string(ProcessTests::freePort());
}

} // namespace

Json route(const std::string &name, const std::string &prefix, int maxAttempts, std::chrono::milliseconds target, double stretch)
{
    return {{"name", name},        {"host", Host},
            {"prefix", prefix},    {"service", "booking-api"},
            {"timeout-ms", 15000}, {"target-duration-ms", target.count()},
            {"priority", 0},       {"max-attempts", maxAttempts},
            {"stretch", stretch}};
}

bool isTroubleOn()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string jobId(std::uint64_t kind, std::uint64_t number)
{
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(8) << (0x5c0e7a21 ^ (kind * 0x1010101)) << std::setw(8)
         << (0xd94b0000 + number * 7919);
    return text.str();
}

std::string JobPlan::body() const
{
    Json list = Json::array();
    for (std::size_t number = 0; number < this->steps.size(); ++number) {
        const StepPlan &step = this->steps[number];
        Json json = {{"count", step.count}, {"cpu", step.cpu}, {"mem-mb", 64}, {"estimate-ms", step.work.count()}};
        if (!step.requirements.empty()) {
            json["requirements"] = step.requirements;
        }
        if (number > 0) {
            json["after"] = Json::array({number - 1});
        }
        list.push_back(std::move(json));
    }
    Json json = {{"spec", "booking " + this->id}, {"steps", list}};
    if (this->isBestEffort) {
        json["best-effort"] = true;
    }
    return json.dump();
}

Fleet::Fleet(const FleetPlan &fleetPlan, const std::filesystem::path &recordFile)
    : plan(fleetPlan)
    , recordStream(recordFile, std::ios::trunc)
    , guard(boost::asio::make_work_guard(this->io))
    , timer(this->io)
{
    this->createEntries();
    this->store = std::make_unique<Platform::Test::StoreStandin>(this->io, this->entries.size());
    this->store->translate = [this](std::size_t reader, Cells::Row &row) { this->translate(reader, row); };
    for (std::size_t from = 0; this->plan.hasLinkProxies && from < this->entries.size(); ++from) {
        auto &proxies = this->linkProxies.emplace_back();
        for (const Entry &to : this->entries) {
            proxies.push_back(std::make_unique<Platform::Test::FaultProxy>(
                this->io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                                                         static_cast<std::uint16_t>(std::stoi(to.peerPort)))));
        }
    }
    for (std::size_t number = 0; number < this->plan.workers.size(); ++number) {
        this->workers.push_back(std::make_unique<Worker>(
            this->io, this->plan.workers[number], number, [this](const std::string &task) { return this->costOf(task); },
            [this](const std::string &line) { this->record(line); }));
    }
    const Json config = {{"version", 7},
                         {"routes", this->plan.routes},
                         {"services", Json::array({{{"name", "booking-api"}, {"admission-check", true}}})},
                         {"limits", Json::object()}};
    this->store->write({"op", "", "config"}, config.dump());
    const auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, tick] {
        if (this->isStopping) {
            return;
        }
        for (const auto &worker : this->workers) {
            worker->tick(*this->store);
        }
        this->timer.expires_after(TickInterval);
        this->timer.async_wait([tick](const boost::system::error_code &) { (*tick)(); });
    };
    boost::asio::post(this->io, *tick);
    this->thread = std::thread([this] { this->io.run(); });
    for (std::size_t number = 0; number < this->entries.size(); ++number) {
        this->writeSettings(this->entries[number], number);
    }
    for (Entry &entry : this->entries) {
        entry.process = std::make_unique<ProcessTests::ChildProcess>(
            ProcessTests::ChildCommand{{Program}, entry.log, {"TANAGERTALLY_NODE_FILE=" + entry.settings.string()}});
    }
    for (const Entry &entry : this->entries) {
        const HttpCall probe{entry.ready, "GET", "/readyz", "", "", std::chrono::seconds(1)};
        if (!ProcessTests::waitUntil([&probe] { return ProcessTests::call(probe).status == 200; })) {
            throw std::runtime_error(entry.name + " does not become ready: " + entry.process->output());
        }
    }
    // As on the platform, traffic starts some seconds after the machines.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    this->record("all entries are ready");
}

Fleet::~Fleet()
{
    for (Entry &entry : this->entries) {
        entry.process.reset();
    }
    this->with([this] {
        this->isStopping = true;
        this->linkProxies.clear();
        this->clientProxy.reset();
    });
    this->store->close();
    for (const auto &worker : this->workers) {
        worker->close();
    }
    this->guard.reset();
    this->io.stop();
    this->thread.join();
}

void Fleet::createEntries()
{
    for (std::size_t number = 0; number < this->plan.zones.size() * this->plan.entriesPerZone; ++number) {
        Entry &entry = this->entries.emplace_back();
        entry.zone = this->plan.zones[number % this->plan.zones.size()];
        entry.name = "edge-" + entry.zone + "-" + std::to_string(number / this->plan.zones.size() + 1);
        entry.frontend = loopback();
        entry.ready = loopback();
        entry.peerPort = std::to_string(ProcessTests::freePort());
        entry.settings = this->folder.file(entry.name + ".yaml");
        entry.log = this->folder.file(entry.name + ".log");
    }
}

void Fleet::translate(std::size_t reader, Cells::Row &row) const
{
    if (this->linkProxies.empty() || row.key.table != Cells::InstancesTable) {
        return;
    }
    Cells::InstanceRecord record = Cells::decodeInstance(row.value).value();
    const auto peer = std::ranges::find(this->entries, record.name.value, &Entry::name);
    record.peerAddress = NetAddress(this->linkProxies[reader][static_cast<std::size_t>(peer - this->entries.begin())]->address());
    row.value = Cells::encodeInstance(record);
}

void Fleet::writeSettings(const Entry &entry, std::size_t number)
{
    std::ofstream file(entry.settings);
    file << "node-name: \"" << entry.name << "\"\nrole: \"entry\"\nmachine-class: \"edge\"\nserves: [\"edge\"]\nip: \"127.0.0.1\"\nzone: \""
         << entry.zone << "\"\nregion: \"casa\"\nzones:\n";
    for (const std::string &zone : this->plan.zones) {
        file << "  " << zone << ": \"casa\"\n";
    }
    file
        << "listen:\n  frontend: \"" << entry.frontend << "\"\n  ready: \"" << entry.ready << "\"\ninternal-ports:\n  - " << entry.peerPort
        << "\n  - " << entry.peerPort
        << "\nseeds: []\nbootstrap: true\nlimits: {cpu-share: 0.25, cores: 1, memory-mb: 260, max-fds: 4100, link-mbps: 1000.0, disk-mb: "
           "0}\ndata-dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat-ms: 1500\nbounds:\n  stable-window-ms: 3000\n  ack-ms: "
           "4000\n  drain-ms: 2000\n  grace-s: 6\n  config-apply-ms: 2000\n  recovery-s: 12\n  hold-max-ms: 1000\n  stop-timeout-ms: 50\n  "
           "cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n  status_s: 120\n  remote-factor: 2\n  fencing-enforced: false\n  "
           "resend-ms: 1300\norders: \"call\"\nplatform:\n  address: \""
        << this->store->address(number).value
        << "\"\n  form: \"table\"\n  writes-per-s: 800\n  reads-per-s: 2000\n  tx-ms: 4.0\n  partition-writes-s: 250\n  row-bytes: 65536\n "
           " "
           "across: true\n  history-s: 20\n";
}

void Fleet::record(const std::string &line)
{
    const auto now = std::chrono::duration<double>(std::chrono::steady_clock::now() - this->startedAt).count();
    const std::lock_guard lock(this->recordMutex);
    this->recordStream << std::fixed << std::setprecision(3) << std::setw(8) << now << "  " << line << '\n' << std::flush;
}

std::optional<TaskCost> Fleet::costOf(const std::string &task)
{
    // ID.K.STEP.INDEX
    std::istringstream parts(task);
    std::string id;
    std::string occurrence;
    std::string step;
    std::getline(parts, id, '.');
    std::getline(parts, occurrence, '.');
    std::getline(parts, step, '.');
    const std::lock_guard lock(this->jobsMutex);
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || std::stoul(step) >= found->second.steps.size()) {
        return std::nullopt;
    }
    const StepPlan &stepPlan = found->second.steps[std::stoul(step)];
    return TaskCost{stepPlan.work, stepPlan.cpu};
}

HttpCall Fleet::request(const JobPlan &job, std::size_t entry, const std::string &method) const
{
    HttpCall call;
    call.address = this->entries[entry].frontend;
    call.method = method;
    call.target = job.prefix + job.id;
    call.host = Host;
    call.timeout = Deadline;
    call.deadlineMs = std::to_string(Deadline.count());
    return call;
}

ProcessTests::HttpAnswer Fleet::post(const JobPlan &job, std::size_t entry)
{
    this->announce(job);
    HttpCall call = this->request(job, entry, "POST");
    call.body = job.body();
    this->record("POST " + call.target + " at " + this->entries[entry].name);
    const HttpAnswer answer = ProcessTests::call(call);
    const bool isBroken = answer.end == CallEnd::Cut || answer.end == CallEnd::NotConnected;
    this->record("POST " + call.target + " at " + this->entries[entry].name + " -> "
                 + (answer.status > 0 ? std::to_string(answer.status)
                    : isBroken        ? "broken connection"
                                      : "no answer"));
    return answer;
}

std::string Fleet::openClientProxy(std::size_t entry)
{
    const std::string &frontend = this->entries[entry].frontend;
    const auto port = static_cast<std::uint16_t>(std::stoi(frontend.substr(frontend.find(':') + 1)));
    return this->with([this, port] {
        this->clientProxy = std::make_unique<Platform::Test::FaultProxy>(
            this->io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
        return this->clientProxy->address();
    });
}

void Fleet::announce(const JobPlan &job)
{
    const std::lock_guard lock(this->jobsMutex);
    this->jobs[job.id] = job;
}

void Fleet::holdLinks(std::size_t entry, bool isHeld)
{
    this->with([this, entry, isHeld] {
        for (std::size_t other = 0; other < this->entries.size(); ++other) {
            this->linkProxies[entry][other]->setBehavior({{}, !isHeld, !isHeld});
            this->linkProxies[other][entry]->setBehavior({{}, !isHeld, !isHeld});
        }
    });
}

void Fleet::holdClient(bool isHeld)
{
    this->with([this, isHeld] { this->clientProxy->setBehavior({{}, !isHeld, !isHeld}); });
}

std::optional<std::size_t> Fleet::leaderOf(const std::string &zone)
{
    return this->with([&]() -> std::optional<std::size_t> {
        const Cells::RowKey key = Cells::leadKey(Cells::CellName(zone));
        const Cells::ReadResult read = this->store->model.read({key.table, key.partition, key.key, 1});
        if (read.rows.empty() || read.rows.front().key.key != key.key) {
            return std::nullopt;
        }
        const Cells::LeadRecord lead = Cells::decodeLead(read.rows.front().value).value();
        const auto found = std::ranges::find(this->entries, lead.owner.value, &Entry::name);
        return found == this->entries.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - this->entries.begin()));
    });
}

bool Fleet::submit(const JobPlan &job, std::size_t entry, std::chrono::milliseconds patience)
{
    this->announce(job);
    const auto until = std::chrono::steady_clock::now() + patience;
    for (std::size_t attempt = 0;; ++attempt) {
        const std::size_t at = (entry + attempt) % this->entries.size();
        HttpCall call = this->request(job, at, "POST");
        call.body = job.body();
        const HttpAnswer answer = ProcessTests::call(call);
        this->record("POST " + call.target + " at " + this->entries[at].name + " -> " + std::to_string(answer.status));
        if (answer.status >= 200 && answer.status < 300) {
            return true;
        }
        if (std::chrono::steady_clock::now() + Resend >= until) {
            return false;
        }
        std::this_thread::sleep_for(Resend);
    }
}

JobView Fleet::look(const JobPlan &job, std::size_t entry)
{
    JobView view;
    const HttpAnswer answer = ProcessTests::call(this->request(job, entry, "GET"));
    view.status = answer.status;
    if (answer.status == 200) {
        view.state = answer.json().value("state", "");
    }
    view.running = this->with([this, &job] {
        std::size_t count = 0;
        for (const auto &worker : this->workers) {
            for (const auto &[task, run] : worker->runs) {
                count += worker->isUp && task.starts_with(job.id + ".") ? 1 : 0;
            }
        }
        return count;
    });
    return view;
}

std::vector<std::string> Fleet::findStranded(const std::vector<JobPlan> &accepted, std::int64_t cpu,
                                             const std::function<bool(const Worker &)> &fits)
{
    this->record("the traffic ends");
    std::this_thread::sleep_for(FinishTime);
    std::map<std::string, bool> isStranded;
    for (const JobPlan &job : accepted) {
        const JobView view = this->look(job, 0);
        this->record("GET " + job.prefix + job.id + " -> " + std::to_string(view.status) + " " + view.state + ", running "
                     + std::to_string(view.running));
        isStranded[job.id] = view.state == "queued" || view.state == "running";
    }
    const auto looks = static_cast<std::size_t>(IdleBound / LookInterval) + ExtraLooks;
    for (std::size_t number = 0; number < looks; ++number) {
        std::this_thread::sleep_for(LookInterval);
        this->with([&] {
            std::int64_t capacity = 0;
            std::int64_t used = 0;
            std::int64_t room = 0; // Number of such tasks that fit now.
            std::set<std::string> running;
            for (const auto &worker : this->workers) {
                for (const auto &[task, run] : worker->runs) {
                    running.insert(task.substr(0, task.find('.')));
                }
                if (!worker->takesWork()) {
                    continue;
                }
                capacity += worker->plan.cpu;
                used += worker->usedCpu();
                room += fits(*worker) ? (worker->plan.cpu - worker->usedCpu()) / cpu : 0;
            }
            for (auto &[id, stranded] : isStranded) {
                stranded = stranded && !running.contains(id) && room >= 2 && 2 * used < capacity;
            }
        });
    }
    std::vector<std::string> ids;
    for (const JobPlan &job : accepted) {
        const JobView view = this->look(job, this->entries.size() - 1);
        const bool isOpen = view.state == "queued" || view.state == "running";
        if (isStranded[job.id] && isOpen) {
            ids.push_back(job.id);
        }
        this->record("GET " + job.prefix + job.id + " -> " + std::to_string(view.status) + " " + view.state
                     + (isStranded[job.id] && isOpen ? ", nothing of it ran for 3 s while there was room" : ""));
    }
    return ids;
}

} // namespace Tanagertally::Review
