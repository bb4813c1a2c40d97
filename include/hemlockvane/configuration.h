#pragma once

/// @file
/// @brief The configuration slice: state, records and decisions, without I/O.

#include "hemlockvane/configuration/ApplyConfiguration.h"
#include "hemlockvane/configuration/ConfigurationChange.h"
#include "hemlockvane/configuration/ConfigurationItem.h"
#include "hemlockvane/configuration/ConfigurationState.h"
#include "hemlockvane/configuration/ConfigurationViews.h"
#include "hemlockvane/configuration/EffectiveValue.h"
#include "hemlockvane/configuration/SettingSpec.h"
#include "hemlockvane/configuration/ValidateChange.h"
