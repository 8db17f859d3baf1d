// Holds the material in force, for whoever does the handshakes, and looks at the files now and then. Files
// are read on a thread of its own: a slow disk does not hold up the loop.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "tls/material.h"

namespace flintglade::tls {

class CertificateProvider {
 public:
  CertificateProvider(boost::asio::io_context& io, std::string name);  // the name is for the log
  ~CertificateProvider();
  // Waits for the disk: for the start and for SIGHUP. Empty, or what is wrong.
  static std::string read(const Files& files, Material& out);
  // From now on in force, with the files that it was read from and the time between looks at them.
  void use(const Files& files, double look_every_s, Material material);
  void on_change(std::function<void()> told) { told_ = std::move(told); }  // on the loop

  // Any thread. The generation changes with the material.
  Material current() const;
  std::uint64_t generation() const { return generation_; }
  struct Counters {
    std::uint64_t taken = 0, refused = 0;
  };
  const Counters& counters() const { return counters_; }
  std::int64_t expires_in_s() const;  // of the certificate; 0: there is none, or it has expired

 private:
  void plan();
  void looked(const Files& files, const std::string& error, Material fresh);
  void take(Material fresh);

  boost::asio::io_context& io_;
  std::string name_;
  boost::asio::steady_timer timer_;
  boost::asio::thread_pool disk_{1};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is posted and finds it gone
  Files files_;
  double every_s_ = 0.0;
  std::string wrong_;  // at the last look, so that it is told once, and not for a pair half written
  bool told_wrong_ = false;
  std::function<void()> told_;
  Counters counters_;
  mutable std::mutex mutex_;
  Material current_;  // under mutex_
  std::atomic<std::uint64_t> generation_ = 0;
};

}  // namespace flintglade::tls
