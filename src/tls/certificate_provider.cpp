#include "tls/certificate_provider.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.h"

namespace flintglade::tls {
namespace {

constexpr std::int64_t kDay = 86400;
constexpr std::int64_t kExpiryWarning = 14 * kDay;  // remaining validity below which loading logs a warning

std::int64_t unix_now() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

CertificateProvider::CertificateProvider(boost::asio::io_context& io, std::string name)
    : io_(io), name_(std::move(name)), timer_(io) {}

CertificateProvider::~CertificateProvider() {
  *alive_ = false;
  disk_thread_.join();
}

std::string CertificateProvider::read(const Files& files, Material& out) {
  return tls::load(files, unix_now(), out);
}

void CertificateProvider::use(const Files& files, double check_interval_s, Material material) {
  files_ = files;
  check_interval_s_ = check_interval_s;
  last_error_.clear();
  error_reported_ = false;
  set_current(std::move(material));
  schedule_check();
}

Material CertificateProvider::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::int64_t CertificateProvider::expires_in_s() const {
  return std::max<std::int64_t>(0, current().not_after - unix_now());
}

void CertificateProvider::schedule_check() {
  if (check_interval_s_ <= 0.0) return;
  timer_.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(check_interval_s_ * 1e6)));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) return;
    boost::asio::post(disk_thread_, [this, alive = alive_, files = files_] {
      Material fresh;
      std::string error = read(files, fresh);
      boost::asio::post(io_, [this, alive, files, error = std::move(error), fresh = std::move(fresh)] {
        if (*alive) on_files_read(files, error, fresh);
      });
    });
  });
}

void CertificateProvider::on_files_read(const Files& files, const std::string& error, Material fresh) {
  if (files == files_) {  // else a reload has changed the paths meanwhile
    if (error.empty()) {
      last_error_.clear();
      error_reported_ = false;
      set_current(std::move(fresh));
    } else if (error != last_error_) {
      // Certificate and key are two files that are replaced one after the other, so a mismatch may be
      // temporary: an error is reported only when the next check finds it again.
      last_error_ = error;
      error_reported_ = false;
    } else if (!std::exchange(error_reported_, true)) {
      ++counters_.refused;
      log::event(log::Level::warn, "certificate_rejected",
                 {{"of", name_}, {"why", error}, {"in_force", "the previously loaded material"}});
    }
  }
  schedule_check();
}

void CertificateProvider::set_current(Material fresh) {
  const bool has_certificate = fresh.not_after != 0;
  const std::int64_t remaining_s = fresh.not_after - unix_now();
  {
    const std::lock_guard lock(mutex_);
    if (generation_ > 0 && fresh.same(current_)) return;
    current_ = std::move(fresh);
  }
  ++generation_;
  ++counters_.taken;
  log::event(has_certificate && remaining_s < kExpiryWarning ? log::Level::warn : log::Level::info,
             "certificate_loaded",
             {{"of", name_},
              {"generation", generation_.load()},
              {"days_left", has_certificate ? remaining_s / kDay : -1}});
  if (on_change_) on_change_();
}

}  // namespace flintglade::tls
