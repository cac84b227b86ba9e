// Field descriptions of the messages between an entry host and the platform.
//
// Call ids match responses to requests within one process and are never sent.
#ifndef DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_PLATFORM_H_
#define DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_PLATFORM_H_

#include "src/core/codec/fields_work.h"

namespace dotterelbarrow::core {

template <>
struct Schema<core::RowCondition> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("key", m.key);
    visit.Required("version", m.version);
  }
};

template <>
struct Schema<core::RowWrite> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("key", m.key);
    visit.Required("value", m.value);
  }
};

template <>
struct Schema<core::Row> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("key", m.key);
    visit.Required("version", m.version);
    visit.Required("value", m.value);
  }
};

template <>
struct Schema<core::TableTransaction> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("conditions", m.conditions);
    visit.Required("writes", m.writes);
  }
};

template <>
struct Schema<core::TableRows> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("rows", m.rows);
    visit.Required("more", m.more);
  }
};

template <>
struct Schema<TransactAnswer> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("status", m.status);
  }
};

template <>
struct Schema<HostRecords> {
  static void Visit(auto& m, auto& visit) { visit.Required("hosts", m.hosts); }
};

template <>
struct Schema<core::TicketAnswer> {
  static void Visit(auto& m, auto& visit) {
    visit.Required("status", m.status);
    visit.Optional("version", m.version);
    visit.Optional("winner", m.winner);
    visit.Optional("detail", m.detail);
  }
};

}  // namespace dotterelbarrow::core

#endif  // DOTTERELBARROW_SRC_CORE_CODEC_FIELDS_PLATFORM_H_
