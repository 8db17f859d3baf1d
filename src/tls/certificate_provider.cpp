#include "tls/certificate_provider.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.h"

namespace flintglade::tls {
namespace {

constexpr std::int64_t kDay = 86400, kSoon = 14 * kDay;  // when an expiry is worth a word

std::int64_t unix_now() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

CertificateProvider::CertificateProvider(boost::asio::io_context& io, std::string name)
    : io_(io), name_(std::move(name)), timer_(io) {}

CertificateProvider::~CertificateProvider() {
  *alive_ = false;
  disk_.join();
}

std::string CertificateProvider::read(const Files& files, Material& out) {
  return tls::load(files, unix_now(), out);
}

void CertificateProvider::use(const Files& files, double look_every_s, Material material) {
  files_ = files;
  every_s_ = look_every_s;
  wrong_.clear();
  told_wrong_ = false;
  take(std::move(material));
  plan();
}

Material CertificateProvider::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::int64_t CertificateProvider::expires_in_s() const {
  return std::max<std::int64_t>(0, current().not_after - unix_now());
}

void CertificateProvider::plan() {
  if (every_s_ <= 0.0) return;
  timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(every_s_ * 1e6)));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    boost::asio::post(disk_, [this, alive = alive_, files = files_] {
      Material fresh;
      std::string error = read(files, fresh);
      boost::asio::post(io_, [this, alive, files, error = std::move(error), fresh = std::move(fresh)] {
        if (*alive) looked(files, error, fresh);
      });
    });
  });
}

void CertificateProvider::looked(const Files& files, const std::string& error, Material fresh) {
  if (files == files_) {  // else a reload has named others meanwhile
    if (error.empty()) {
      wrong_.clear();
      told_wrong_ = false;
      take(std::move(fresh));
    } else if (error != wrong_) {
      // Certificate and key are two files, and are changed one after the other: seen once is not yet wrong.
      wrong_ = error;
      told_wrong_ = false;
    } else if (!std::exchange(told_wrong_, true)) {
      ++counters_.refused;
      log::event(log::Level::warn, "certificate_rejected",
                 {{"of", name_}, {"why", error}, {"in_force", "what was read before"}});
    }
  }
  plan();
}

void CertificateProvider::take(Material fresh) {
  const bool has = fresh.not_after != 0;
  const std::int64_t left = fresh.not_after - unix_now();
  {
    const std::lock_guard lock(mutex_);
    if (generation_ > 0 && fresh.same(current_)) return;
    current_ = std::move(fresh);
  }
  ++generation_;
  ++counters_.taken;
  log::event(has && left < kSoon ? log::Level::warn : log::Level::info, "certificate_loaded",
             {{"of", name_}, {"generation", generation_.load()}, {"days_left", has ? left / kDay : -1}});
  if (told_) told_();
}

}  // namespace flintglade::tls
