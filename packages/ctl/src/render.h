// Text and JSON of what jasminecroftctl prints.
#pragma once

#include "jasminecroft/core/config.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace jasminecroft::ctl {

/// "workspace=a pool=b", or "everywhere".
std::string describeScope(const exception_scope &Scope);
/// One line for a difference, such as "max_attempts: 3 -> 4".
std::string describeDifference(const config_difference &Difference);
/// Several lines for a change: who, when, why and what.
std::string describeChange(const change_record &Change);
std::string describeException(const config_exception &Exception, wall_time Now);

boost::json::object effectiveToJson(const effective_setting &Setting);
boost::json::object exceptionToJson(const config_exception &Exception);

/// Rows under a heading, columns as wide as their widest cell.
class text_table {
public:
  explicit text_table(std::vector<std::string> Heading);
  void add(std::vector<std::string> Row);
  std::string text() const;

private:
  std::vector<std::vector<std::string>> Rows;
};

} // namespace jasminecroft::ctl
