#include "admin/processframe.h"

#include "admin/startup.h"
#include "settings/inidocument.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include <csignal>

namespace kelptally::admin {

namespace {

// Enough for the operators and the metrics collector.
constexpr int maxAdminConnections = 256;
// A whole configuration document, with room for JSON escapes.
constexpr std::size_t maxAdminBodyBytes = 2 * settings::maxDocumentBytes;
// How often the program is polled while it drains.
constexpr auto drainPollPeriod = std::chrono::milliseconds(20);
// How often a drain in progress is logged.
constexpr auto drainLogPeriod = std::chrono::seconds(10);
// Ends the drain of an owner that can reach neither the store nor a successor to hand its groups
// over: the process stops and the leases expire. Must exceed the deadlines of requests.
constexpr auto drainTimeout = std::chrono::seconds(30);

caller::HttpLimits adminLimits(const settings::ProcessSettings &settings)
{
    caller::HttpLimits limits;
    limits.maxConnections = maxAdminConnections;
    limits.maxBodyBytes = maxAdminBodyBytes;
    limits.readTimeout = settings.requestReadTimeout;
    return limits;
}

} // namespace

ProcessFrame::ProcessFrame(std::string program, const settings::ProcessSettings &settings,
                           Metrics &metrics, FrameProgram &frameProgram,
                           const ConfigStoreFactory &makeStore)
    : program_(std::move(program)), settings_(settings), frameProgram_(frameProgram),
      store_(makeStore(thread_, settings)), peers_(thread_),
      config_(thread_, peers_, *store_, metrics),
      calls_(thread_, peers_, frameProgram, settings_.peerAddress()),
      api_({settings_, config_, *store_, calls_, metrics}),
      handler_({metrics, [this] { frameProgram_.collect(); }, [this] { return notReady(); },
                [this](caller::HttpRequest request, caller::HttpReplyPtr reply) {
                    api_.onRequest(std::move(request), std::move(reply));
                }}),
      server_(thread_, handler_, adminLimits(settings),
              [&metrics](Reason reason) { metrics.countRefusal(reason); })
{
    peers_.setHandlers(
        [this](const std::string &peer, ConfigVersion version) { config_.onNotice(peer, version); },
        [this] { return config_.current(); });
    config_.subscribe([this](const settings::ConfigurationPtr &configuration) {
        frameProgram_.install(configuration);
    });
}

ProcessFrame::~ProcessFrame()
{
    stop();
}

absl::Status ProcessFrame::start()
{
    const caller::HttpTls tls {settings_.tlsCertificate, settings_.tlsKey};
    const absl::Status listening = server_.listen(settings_.address, settings_.adminPort, tls);
    if (!listening.ok())
        return listening;
    boost::asio::post(thread_.context(), [this] {
        for (const std::string &seed : settings_.seeds)
            if (seed != settings_.peerAddress())
                peers_.connect(seed);
    });
    config_.start();
    thread_.start();
    LOG(INFO) << "event=started program=" << program_ << " host=" << settings_.host
              << " address=" << settings_.address << " admin_port=" << server_.port();
    return absl::OkStatus();
}

void ProcessFrame::stop()
{
    thread_.stop();
}

std::string ProcessFrame::notReady() const
{
    if (draining_)
        return "draining";
    if (!config_.current())
        return "no configuration yet";
    if (!frameProgram_.ready())
        return "starting, or drained by an operator";
    return {};
}

// Waits for a signal, drains the program and stops. A second signal or the drain timeout ends the
// drain early.
int ProcessFrame::run()
{
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    boost::asio::steady_timer timer(context);
    auto drainStart = std::chrono::steady_clock::now();
    auto lastLogged = drainStart;
    bool forced = false;
    std::function<void()> poll = [&] {
        if (frameProgram_.drained() || forced)
            return context.stop();
        const auto now = std::chrono::steady_clock::now();
        if (now - drainStart >= drainTimeout)
            forced = true;
        if (now - lastLogged >= drainLogPeriod) {
            lastLogged = now;
            LOG(INFO) << "event=draining program=" << program_ << " cause=\"work in progress\"";
        }
        timer.expires_after(drainPollPeriod);
        timer.async_wait([&](const boost::system::error_code &) { poll(); });
    };
    signals.async_wait([&](const boost::system::error_code &error, int number) {
        if (error)
            return;
        LOG(INFO) << "event=drain program=" << program_ << " cause=\"signal " << number << '"';
        draining_ = true;
        drainStart = lastLogged = std::chrono::steady_clock::now();
        frameProgram_.drain();
        signals.async_wait(
            [&](const boost::system::error_code &secondError, int) { forced = !secondError; });
        poll();
    });
    context.run();
    stop();
    LOG(INFO) << "event=stopped program=" << program_ << " forced=" << forced;
    return forced ? exitFailed : exitOk;
}

} // namespace kelptally::admin
